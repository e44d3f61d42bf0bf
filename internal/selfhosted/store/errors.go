package store

import (
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"
)

// Kind is the reason why a call failed.
type Kind string

const (
	// KindUnreachable: no connection could be made, or it failed before any byte was sent.
	KindUnreachable Kind = "unreachable"
	// KindTimeout: the call exceeded its timeout or deadline.
	KindTimeout Kind = "timeout"
	// KindRateLimited: the store or the client's rate limiter rejected the call.
	KindRateLimited Kind = "rate_limited"
	// KindRefused: the store rejected the call as invalid or not permitted.
	KindRefused Kind = "refused"
	// KindUnavailable: the store cannot perform the call now. An overloaded store may have applied
	// a write nevertheless.
	KindUnavailable Kind = "unavailable"
	// KindReplyLost: the request may have been sent, and no complete response was received.
	KindReplyLost Kind = "reply_lost"
	// KindCanceled: the context of the caller ended or the store cancelled the call.
	KindCanceled Kind = "canceled"
	// KindCompacted: the requested revision is no longer in the history of the store.
	KindCompacted Kind = "compacted"
	// KindLeaseNotFound: the store returned NotFound, as it does for an unknown lease.
	KindLeaseNotFound Kind = "lease_not_found"
)

// Step names the operation in which an error occurred.
type Step string

const (
	StepRange       Step = "store.range"
	StepTxn         Step = "store.txn"
	StepDeleteRange Step = "store.deleterange"
	StepWatch       Step = "store.watch"
)

// Error is the failure of one call. Calls return it wrapped by oops with the attributes step and
// peer. Use errors.As to obtain it.
type Error struct {
	Step Step
	// Peer is the endpoint that was called, or empty if none was.
	Peer string
	Kind Kind
	// MaybeApplied is false only if the call certainly had no effect, because no byte of it was
	// sent or because the store reported so.
	MaybeApplied bool
	// RetryAfter is the delay that the store requested before a retry, or zero.
	RetryAfter time.Duration
	// CompactRevision is the oldest revision that is available, for KindCompacted; zero if unknown.
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

// MaybeApplied reports whether the call that returned err may have taken effect. It returns false
// for nil and true for errors of other packages.
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

// ErrorKind returns the kind of a failed call, or "" if err is not from this package.
func ErrorKind(err error) Kind {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

func wrapError(failure *Error) error {
	return oops.In("store").With("step", string(failure.Step), "peer", failure.Peer).Wrap(failure)
}
