package once

import (
	"time"

	"github.com/oklog/ulid/v2"
)

// Kind is the kind of a Ledger's decision about a submission.
type Kind string

// The kinds of decision.
const (
	// Run means that this submission may run. The driver calls Finish or Release exactly once.
	Run Kind = "run"
	// Replay means that the request ran here before, with the result in Outcome.
	Replay Kind = "replay"
	// InProgress means that an earlier submission was admitted and has not ended.
	InProgress Kind = "in_progress"
	// Refuse means that this submission must not run.
	Refuse Kind = "refuse"
)

// Reason is the reason why a submission is refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonNone Reason = ""
	// ReasonFenced means that an earlier owner may have run the request.
	ReasonFenced Reason = "fenced"
	// ReasonTooOld means that the id is older than the ids that are remembered.
	ReasonTooOld Reason = "too_old"
	// ReasonFuture means that the id's time is too far ahead of this machine's clock.
	ReasonFuture Reason = "future"
	// ReasonFull means that no more ids can be remembered at present.
	ReasonFull Reason = "full"
	// ReasonSuspended means that it is not yet known whether this node is the owner.
	ReasonSuspended Reason = "suspended"
)

// Decision is the result of Begin.
type Decision[Outcome any] struct {
	Kind   Kind
	Reason Reason
	// Ownership identifies the ownership period in which the decision was made; see
	// Ledger.OwnershipHolds.
	Ownership uint64
	// Outcome is set for Replay.
	Outcome Outcome
	// MayHaveRun applies to Refuse. It is false only if the request ran nowhere, regardless of
	// earlier submissions, so that it may be reported as not run. Otherwise an earlier submission
	// of the id may have run; only a caller that knows that there was none may treat the request
	// as not run.
	MayHaveRun bool
	// RetryAfter applies to Refuse and is how long to wait; zero if unknown. After ReasonFenced
	// and ReasonTooOld the same id never runs here, but a new id that is created after that time
	// does.
	RetryAfter time.Duration
}

// milliseconds is a wall clock time as contained in an id: milliseconds since the Unix epoch.
type milliseconds int64

func timeOf(id ulid.ULID) milliseconds { return milliseconds(id.Time()) }

func floorMilliseconds(wall time.Time) milliseconds { return milliseconds(wall.UnixMilli()) }

// ceilMilliseconds rounds up, so that a bound on ids is never too low.
func ceilMilliseconds(wall time.Time) milliseconds {
	return milliseconds(wall.Add(time.Millisecond - 1).UnixMilli())
}

func (m milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }
