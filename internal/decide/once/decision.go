package once

import (
	"time"

	"github.com/oklog/ulid/v2"
)

// Kind is what a Ledger decides about a submission.
type Kind string

// The kinds of decision.
const (
	// Run: this submission is the one that may run. The driver calls Finish or
	// Release exactly once.
	Run Kind = "run"
	// Replay: the request ran here before; Outcome is what came of it.
	Replay Kind = "replay"
	// InProgress: an earlier submission was let through and has not ended.
	InProgress Kind = "in_progress"
	// Refuse: this submission must not run.
	Refuse Kind = "refuse"
)

// Reason says why a submission is refused.
type Reason string

// The reasons.
const (
	ReasonNone Reason = ""
	// ReasonFenced: an earlier owner may have run the request.
	ReasonFenced Reason = "fenced"
	// ReasonTooOld: the id is older than what is remembered.
	ReasonTooOld Reason = "too_old"
	// ReasonFuture: the id's time is too far ahead of this machine's clock.
	ReasonFuture Reason = "future"
	// ReasonFull: no more ids can be remembered now.
	ReasonFull Reason = "full"
	// ReasonSuspended: it is not known yet whether this node is the owner.
	ReasonSuspended Reason = "suspended"
)

// Decision answers Begin.
type Decision[Outcome any] struct {
	Kind   Kind
	Reason Reason
	// Ownership is the ownership under which the decision was taken; see
	// Ledger.Holds.
	Ownership uint64
	// Outcome is set for Replay.
	Outcome Outcome
	// MayHaveRun, for Refuse, is false only if the request has run nowhere,
	// whatever was submitted before: it may be reported as not run. Otherwise
	// an earlier submission of the id may have run, and only a caller that
	// knows that there was none may take it as not run.
	MayHaveRun bool
	// RetryAfter, for Refuse, is how long to wait. For ReasonFenced and
	// ReasonTooOld the same id never runs here: a new id, minted after that
	// time, does. Zero if unknown.
	RetryAfter time.Duration
}

// milliseconds is a time of day as an id holds it: since the Unix epoch.
type milliseconds int64

func timeOf(id ulid.ULID) milliseconds { return milliseconds(id.Time()) }

func floorMilliseconds(wall time.Time) milliseconds { return milliseconds(wall.UnixMilli()) }

// ceiling rounds up, so that a bound on ids is never too low.
func ceilMilliseconds(wall time.Time) milliseconds {
	return milliseconds(wall.Add(time.Millisecond - 1).UnixMilli())
}

func (m milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }
