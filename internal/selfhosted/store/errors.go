package store

import (
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"
)

// Kind says why a call failed.
type Kind string

// The kinds of failure.
const (
	// KindUnreachable: no connection could be made, or it broke before a byte left.
	KindUnreachable Kind = "unreachable"
	// KindTimeout: the time for the call ran out.
	KindTimeout Kind = "timeout"
	// KindRateLimited: the store, or the client's own limiter, refused the call
	// as one too many.
	KindRateLimited Kind = "rate_limited"
	// KindRefused: the store answered that it will not do it.
	KindRefused Kind = "refused"
	// KindUnavailable: the store answered that it cannot do it now. An
	// overloaded store may have applied the write all the same.
	KindUnavailable Kind = "unavailable"
	// KindReplyLost: the request left, and no whole reply came back.
	KindReplyLost Kind = "reply_lost"
	// KindCanceled: the caller's context or the store cancelled the call.
	KindCanceled Kind = "canceled"
	// KindCompacted: the revision asked for is not in the store's history any more.
	KindCompacted Kind = "compacted"
	// KindLeaseNotFound: the store did not find what the call names.
	KindLeaseNotFound Kind = "lease_not_found"
)

// Step names the call at which an error arose.
type Step string

// The steps.
const (
	StepRange       Step = "store.range"
	StepTxn         Step = "store.txn"
	StepDeleteRange Step = "store.deleterange"
	StepWatch       Step = "store.watch"
)

// Error is the failure of one call. Calls return it wrapped by oops with the
// attributes step and peer; find it with errors.As.
type Error struct {
	Step Step
	// Peer is the endpoint that was called; empty if none was.
	Peer string
	Kind Kind
	// MaybeApplied is false only if the call certainly had no effect: no byte
	// of it left this process, or the store said so.
	MaybeApplied bool
	// RetryAfter is when the store wants to be asked again; zero if unknown.
	RetryAfter time.Duration
	// CompactRevision, for KindCompacted, is the oldest revision still kept;
	// zero if unknown.
	CompactRevision int64
	Cause           error
}

// Error implements error.
func (e *Error) Error() string {
	effect := "not applied"
	if e.MaybeApplied {
		effect = "may have been applied"
	}
	return fmt.Sprintf("%s at %q: %s (%s): %v", e.Step, e.Peer, e.Kind, effect, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// MaybeApplied reports whether the call that returned err may have taken
// effect. It is false for nil and true for errors of other packages.
func MaybeApplied(err error) bool {
	if err == nil {
		return false
	}
	var failure *Error
	if errors.As(err, &failure) {
		return failure.MaybeApplied
	}
	return true
}

// KindOf returns the kind of a failed call, or "" if err is not from this package.
func KindOf(err error) Kind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

func wrapError(failure *Error) error {
	return oops.In("store").With("step", string(failure.Step), "peer", failure.Peer).Wrap(failure)
}
