// Package once decides whether a request that may run at most once may run now. It is pure: time is
// passed in as readings.
//
// Rule: the owner of a request id, chosen by rendezvous hashing over the voter slots, admits each
// id once and remembers it with its outcome. An owner that is new, or new to the id, refuses every
// id that a predecessor may have admitted. These are the ids up to a fence, which is compared with
// the time inside the id (a ULID, created by the caller).
//
// Inputs: the id, readings of the monotonic and of the wall clock, the time since when this node
// owns its slot, the names of the voters.
//
// Reason: owners have no disk, so the ids admitted by a previous owner are lost with it. Refusing
// new ids costs some seconds, while a second execution cannot be undone. The design is described in
// docs/design/0005-at-most-once.md.
//
// The guarantee rests on these conditions, which the driver must keep:
//   - A decision counts only if, at a moment after the reading passed to Begin and before bytes are
//     sent, the node was fresh (confirmed by a majority of voters within Config.Freshness, on the
//     monotonic clock) and OwnershipHolds was true. Otherwise the driver takes back a Run by
//     Release, and must not report a refusal as not run.
//   - The moment passed to NewLedger or Reset is one after a majority of voters has acknowledged
//     this incarnation of the slot and the revision with the present voter set. From installing
//     another voter set until then, the ledger is suspended. This also applies if the set is the
//     same as before, but another one was in force in between that this node skipped.
//   - The wall clocks of two voters never differ by more than Config.ClockDifference, other than by
//     a backward jump after the start.
//
// A Ledger is not safe for concurrent use.
package once

import (
	"time"

	"github.com/oklog/ulid/v2"
)

// Config holds the bounds of a Ledger.
type Config struct {
	// Window is the maximum age of an id, and how long outcomes are remembered.
	Window time.Duration
	// Freshness is how long a replaced owner may continue without noticing that it was replaced:
	// the freshness window of the nodes.
	Freshness time.Duration
	// Skew is how far an id's time may be ahead of the owner's clock.
	Skew time.Duration
	// ClockDifference is the largest difference between the wall clocks of two voters, which the
	// operation of the voters has to ensure.
	ClockDifference time.Duration
	// Capacity is the maximum number of ids that are remembered.
	Capacity int

	disabled disabledMechanisms
}

// disabledMechanisms lists the parts of the ledger that tests switch off, to check that a
// simulation without each of them breaks the guarantee.
type disabledMechanisms struct {
	fence          bool
	droppedBound   bool
	latestClock    bool
	jumpFence      bool
	suspension     bool
	futureBound    bool
	mayHaveRunFlag bool
	ownershipCheck bool
}

// DefaultConfig returns the values of docs/design/0005-at-most-once.md. Freshness, Skew and
// ClockDifference add up to a fence of 11 s.
func DefaultConfig() Config {
	return Config{
		Window:          5 * time.Minute,
		Freshness:       5 * time.Second,
		Skew:            5 * time.Second,
		ClockDifference: time.Second,
		Capacity:        1 << 20,
	}
}

// Ledger remembers the ids that this node admitted as their owner.
type Ledger[Outcome any] struct {
	config  Config
	clock   clock
	records records[Outcome]
	// fence is the time up to which ids may have been admitted by a predecessor.
	fence milliseconds
	// maxDropped is the highest time of an id that was admitted here and is no longer remembered.
	maxDropped milliseconds
	suspended  bool
	// ownership counts the calls of Suspend and Reset.
	ownership uint64
}

// NewLedger returns the ledger of a node that became an owner at the given reading; see the
// conditions in the package comment.
func NewLedger[Outcome any](config Config, ownershipSince ClockReading) *Ledger[Outcome] {
	ledger := &Ledger[Outcome]{config: config, clock: newClock(ownershipSince), records: newRecords[Outcome]()}
	ledger.raiseFence()
	return ledger
}

// Begin decides about a submission of the id at the given reading. The caller has checked that this
// node is the owner of the id.
func (l *Ledger[Outcome]) Begin(now ClockReading, id ulid.ULID) Decision[Outcome] {
	wall := l.observe(now)
	if record, exists := l.records.find(id); exists {
		if record.finished {
			return Decision[Outcome]{Kind: Replay, Ownership: l.ownership, Outcome: record.outcome}
		}
		return Decision[Outcome]{Kind: InProgress, Ownership: l.ownership}
	}
	if refusal, refused := l.checkRefusal(wall, timeOf(id)); refused {
		return refusal
	}
	l.records.add(id)
	return Decision[Outcome]{Kind: Run, Ownership: l.ownership}
}

// OwnershipHolds reports whether the ownership period in which a decision was made still lasts. A
// node that was suspended during a change of the voter set and is fresh again must not act on an
// earlier decision.
func (l *Ledger[Outcome]) OwnershipHolds(decision Decision[Outcome]) bool {
	return decision.Ownership == l.ownership || l.config.disabled.ownershipCheck
}

// Finish records the outcome of an admitted submission, even if the outcome is unknown. Later
// submissions of the id get this outcome.
func (l *Ledger[Outcome]) Finish(id ulid.ULID, outcome Outcome) { l.records.finish(id, outcome) }

// Release removes an admitted submission that certainly did not run and never will. The id may be
// submitted again.
func (l *Ledger[Outcome]) Release(id ulid.ULID) { l.records.release(id) }

// Suspend makes the ledger refuse every unknown id until Reset. The driver calls it before it
// installs another voter set.
func (l *Ledger[Outcome]) Suspend() {
	l.suspended = !l.config.disabled.suspension
	l.ownership++
}

// Reset starts a new ownership period at the given reading: ids created before may have been
// admitted elsewhere in the meantime. Ids admitted here remain known.
func (l *Ledger[Outcome]) Reset(ownershipSince ClockReading) {
	l.observe(ownershipSince)
	l.raiseFence()
	l.suspended = false
	l.ownership++
}

// Expire removes the finished ids that are older than the window. It has to be called about once
// per second.
func (l *Ledger[Outcome]) Expire(now ClockReading) {
	wall := l.observe(now)
	l.dropExpired(wall)
}

// Length returns the number of ids that are remembered.
func (l *Ledger[Outcome]) Length() int { return l.records.length() }

// FencedUntil returns the wall clock time after which an id must be created to pass the fence.
func (l *Ledger[Outcome]) FencedUntil() time.Time { return time.UnixMilli(int64(l.fence)) }

// observe records a reading. If the wall clock jumped ahead, earlier readings were wrong and the
// fence may be too low, so it is raised as at a new start.
func (l *Ledger[Outcome]) observe(now ClockReading) (wall time.Time) {
	wall, jumpedAhead := l.clock.observe(now, l.config.ClockDifference)
	if l.config.disabled.latestClock {
		l.clock.latestWall = wall
	}
	if jumpedAhead && !l.config.disabled.jumpFence {
		l.raiseFence()
	}
	return wall
}

// raiseFence sets the fence above every id that a predecessor can admit before it notices that it
// was replaced. The predecessor admits ids until Freshness from now, by a clock that may be ahead
// by ClockDifference, from callers whose clocks are ahead of it by Skew.
func (l *Ledger[Outcome]) raiseFence() {
	if l.config.disabled.fence {
		return
	}
	margin := l.config.Freshness + l.config.Skew + l.config.ClockDifference
	l.fence = max(l.fence, ceilMilliseconds(l.clock.latestWall.Add(margin)))
}

func (l *Ledger[Outcome]) dropExpired(wall time.Time) {
	highest, droppedAny := l.records.dropBuckets(floorMilliseconds(wall.Add(-l.config.Window)))
	if droppedAny && !l.config.disabled.droppedBound {
		l.maxDropped = max(l.maxDropped, highest)
	}
}
