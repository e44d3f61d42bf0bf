// Package once decides whether a request that may run at most once may run now. It is
// pure: time comes in as readings.
//
// Rule: the owner of a request id, chosen by rendezvous hashing over the voter slots, lets
// each id through once, and remembers it with its outcome. An owner that is new, or new to
// the id, refuses every id that a predecessor may have let through: up to a fence, which
// works on the time inside the id (a ULID, minted by the caller).
//
// Inputs: the id, readings of the monotonic and of the wall clock, the time since when
// this node owns its slot, the names of the voters.
//
// Reason: no owner has a disk, so what a former one let through is lost with it; refusing
// costs some seconds of new ids, running twice cannot be undone. Weighed in
// docs/design/0005-at-most-once.md; its constants are bounds of the promise, with
// DefaultConfig.
//
// The guarantee rests on these conditions, which the driver must keep:
//   - A decision counts only if, at a moment after the reading handed to Begin
//     and before bytes leave, the node was fresh (confirmed by a majority of
//     voters within Config.Freshness, on the monotonic clock) and Holds was
//     true. Otherwise a Run is given back by Release, and a refusal may not be
//     reported as not run.
//   - The moment handed to NewLedger or Reset is one after a majority of voters
//     has acknowledged this incarnation of the slot and the revision with the
//     present voter set. From installing another voter set until then, the
//     ledger is suspended; also if the set is the same as before, but another
//     one was in force in between that this node skipped.
//   - The wall clocks of two voters never differ by more than
//     Config.ClockDifference, other than by a jump back after the start.
//
// A Ledger is not safe for concurrent use.
package once

import (
	"time"

	"github.com/oklog/ulid/v2"
)

// Config holds the bounds of a ledger.
type Config struct {
	// Window is how old an id may be, and how long outcomes are remembered.
	Window time.Duration
	// Freshness is how long a replaced owner may go on without noticing.
	Freshness time.Duration
	// Skew is how far an id's time may be ahead of the owner's clock.
	Skew time.Duration
	// ClockDifference is the largest difference between the wall clocks of
	// two voters.
	ClockDifference time.Duration
	// Capacity is the number of ids that are remembered at most.
	Capacity int

	disabled disabledMechanisms
}

// mechanisms names parts of the ledger that tests switch off, to see the proof
// of each fail.
type disabledMechanisms struct {
	fence          bool
	droppedBound   bool
	latestClock    bool
	jumpFence      bool
	suspension     bool
	futureBound    bool
	mayHaveRun     bool
	ownershipCheck bool
}

// DefaultConfig returns the values of docs/design/0005-at-most-once.md. None is measured:
// Freshness is the freshness window of the nodes, ClockDifference what the clocks of
// voters must keep to; Freshness, Skew and ClockDifference add up to a fence of 11 s.
func DefaultConfig() Config {
	return Config{
		Window:          5 * time.Minute,
		Freshness:       5 * time.Second,
		Skew:            5 * time.Second,
		ClockDifference: time.Second,
		Capacity:        1 << 20,
	}
}

// Ledger remembers the ids that this node let through as their owner.
type Ledger[Outcome any] struct {
	config  Config
	clock   clock
	records records[Outcome]
	// fence: ids minted up to it may have been let through by a predecessor.
	fence milliseconds
	// dropped is the highest time of an id that was let through here and is
	// not remembered any more.
	maxDropped milliseconds
	suspended  bool
	// ownership counts the calls of Suspend and Reset.
	ownership uint64
}

// NewLedger returns the ledger of a node that became an owner at the given
// reading; see the conditions in the package comment.
func NewLedger[Outcome any](config Config, ownershipSince Reading) *Ledger[Outcome] {
	ledger := &Ledger[Outcome]{config: config, clock: newClock(ownershipSince), records: newRecords[Outcome]()}
	ledger.raiseFence()
	return ledger
}

// Begin decides about a submission of the id, at the given reading. The caller
// has checked that this node is the owner of the id.
func (l *Ledger[Outcome]) Begin(now Reading, id ulid.ULID) Decision[Outcome] {
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

// Holds reports whether the ownership under which a decision was taken still
// lasts. A node that slept through a change of the voter set and is fresh
// again may not act on what it decided before.
func (l *Ledger[Outcome]) Holds(decision Decision[Outcome]) bool {
	return decision.Ownership == l.ownership || l.config.disabled.ownershipCheck
}

// Finish records what came of a submission that was let through, also if that
// is not known. Later submissions of the id get this outcome.
func (l *Ledger[Outcome]) Finish(id ulid.ULID, outcome Outcome) { l.records.finish(id, outcome) }

// Release forgets a submission that was let through and certainly did not run
// and never will. The id may be submitted again.
func (l *Ledger[Outcome]) Release(id ulid.ULID) { l.records.release(id) }

// Suspend makes the ledger refuse every id that it does not know, until Reset.
// The driver calls it before it installs another voter set.
func (l *Ledger[Outcome]) Suspend() {
	l.suspended = !l.config.disabled.suspension
	l.ownership++
}

// Reset starts the ownership anew, at the given reading: ids minted before may
// have been let through elsewhere meanwhile. What was let through here stays
// known.
func (l *Ledger[Outcome]) Reset(ownershipSince Reading) {
	l.observe(ownershipSince)
	l.raiseFence()
	l.suspended = false
	l.ownership++
}

// Expire forgets the finished ids that are older than the window. Call it
// every second or so.
func (l *Ledger[Outcome]) Expire(now Reading) {
	wall := l.observe(now)
	l.dropExpired(wall)
}

// Length returns the number of ids that are remembered.
func (l *Ledger[Outcome]) Length() int { return l.records.length() }

// FencedUntil returns the time of day that an id must be minted after.
func (l *Ledger[Outcome]) FencedUntil() time.Time { return time.UnixMilli(int64(l.fence)) }

// observe takes a reading. A time of day that jumped ahead was wrong before:
// the fence may be too low, so it is raised as at a new start.
func (l *Ledger[Outcome]) observe(now Reading) (wall time.Time) {
	wall, jumpedAhead := l.clock.observe(now, l.config.ClockDifference)
	if l.config.disabled.latestClock {
		l.clock.latestWall = wall
	}
	if jumpedAhead && !l.config.disabled.jumpFence {
		l.raiseFence()
	}
	return wall
}

// raiseFence sets the fence above every id that a predecessor can let through
// until it notices: one that takes ids until Freshness from now, by a clock
// that may be ahead by ClockDifference, of callers ahead of it by Skew.
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
