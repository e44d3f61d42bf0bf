package query

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/once"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// expireInterval is the time between two removals of expired ids.
const expireInterval = time.Second

// storedResult is the recorded result of a request that runs at most once. Exactly
// one of its fields is set.
type storedResult struct {
	response *api.QueryResponse
	problem  *api.Problem
}

func (r storedResult) err() error {
	if r.problem == nil {
		return nil
	}
	return r.problem
}

// OwnershipProof reports whether a majority of the voters has acknowledged this
// process since the given reading of the monotonic clock and holds the given
// revision.
type OwnershipProof func(after time.Duration, revision uint64) bool

// Ledger records the request ids that this node owns, with their results. A change
// of the voting set suspends the ledger until the new ownership is proved. A Ledger
// is safe for concurrent use.
type Ledger struct {
	clock clock.Clock
	// timeOfDay returns the wall-clock time, which the times in request ids are compared with.
	timeOfDay         func() time.Time
	isOwnershipProved OwnershipProof

	mutex   sync.Mutex
	entries *once.Ledger[storedResult]
	// votersRevision is the revision of the newest change of the voting set
	// that this node has installed.
	votersRevision uint64
	// pendingOwnership is the newest voting set while its ownership is not yet
	// proved, and nil otherwise.
	pendingOwnership *ownership
}

// ownership identifies an installed voting set and the time of its installation.
type ownership struct {
	installedAt time.Duration
	revision    uint64
}

// NewLedger returns a Ledger that refuses every id until a voting set is installed
// and its ownership is proved.
func NewLedger(config once.Config, source clock.Clock, isOwnershipProved OwnershipProof) *Ledger {
	return newLedger(config, source, time.Now, isOwnershipProved)
}

func newLedger(config once.Config, source clock.Clock, timeOfDay func() time.Time, isOwnershipProved OwnershipProof) *Ledger {
	ledger := &Ledger{clock: source, timeOfDay: timeOfDay, isOwnershipProved: isOwnershipProved}
	ledger.entries = once.NewLedger[storedResult](config, ledger.readClocks())
	ledger.entries.Suspend()
	return ledger
}

func (l *Ledger) readClocks() once.ClockReading {
	return once.ClockReading{Wall: l.timeOfDay(), Monotonic: l.clock.Now()}
}

// SetVoters installs the voting set that was changed last at the given revision.
// Revisions are compared rather than voter names: if a node missed two changes that
// cancel each other out, another node owned its ids in between and may have run
// them, so the ledger must be suspended in that case as well.
func (l *Ledger) SetVoters(votersRevision uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setVoters(votersRevision)
}

// setVoters suspends the ledger if votersRevision is newer than the installed revision. The
// caller holds the mutex.
func (l *Ledger) setVoters(votersRevision uint64) {
	if votersRevision <= l.votersRevision {
		return
	}
	l.votersRevision = votersRevision
	l.entries.Suspend()
	l.pendingOwnership = &ownership{installedAt: l.clock.Now(), revision: votersRevision}
}

// Run removes expired ids until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.mutex.Lock()
			l.completePendingOwnership()
			l.entries.Expire(l.readClocks())
			l.mutex.Unlock()
		}
	}
}

// completePendingOwnership ends the suspension if the pending ownership is proved.
// The caller holds the mutex.
func (l *Ledger) completePendingOwnership() {
	if l.pendingOwnership == nil || !l.isOwnershipProved(l.pendingOwnership.installedAt, l.pendingOwnership.revision) {
		return
	}
	l.pendingOwnership = nil
	l.entries.Reset(l.readClocks())
}

// begin decides whether a request may run whose id this node owns by the voting set
// of votersRevision. If that voting set is newer than the installed one, begin
// installs it first. If it is older, this node may have lost the ownership, and
// begin refuses the id.
func (l *Ledger) begin(id ulid.ULID, votersRevision uint64) once.Decision[storedResult] {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setVoters(votersRevision)
	if votersRevision < l.votersRevision {
		return once.Decision[storedResult]{Kind: once.Refuse, Reason: once.ReasonSuspended, MayHaveRun: true}
	}
	l.completePendingOwnership()
	return l.entries.Begin(l.readClocks(), id)
}

// isStillOwned reports whether the ownership under which a decision was made is still
// in effect.
func (l *Ledger) isStillOwned(decision once.Decision[storedResult]) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.entries.OwnershipHolds(decision)
}

// finish records the result of an accepted id, for replay to later submissions.
func (l *Ledger) finish(id ulid.ULID, result storedResult) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries.Finish(id, result)
}

// release forgets an accepted id whose request did not run.
func (l *Ledger) release(id ulid.ULID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries.Release(id)
}
