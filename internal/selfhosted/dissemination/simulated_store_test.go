package dissemination

import (
	"errors"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// simulatedStore is a store in virtual time with configurable faults.
type simulatedStore struct {
	changes      []catalog.Change
	deletedCount int // number of oldest changes that are deleted
	// strayChanges holds changes that were written under deleted keys.
	strayChanges map[uint64]catalog.Change
	checkpoint   *catalog.Catalog
	down         bool
	maxDelay     Time
	replyLoss    float64
	watchLag     Time
	side         int
}

var errNoReply = errors.New("store operation: no reply")

// runStoreOperation runs a store operation. A write may take effect long after its caller has
// received an error.
func (sim *simulation) runStoreOperation(p *process, operation StoreOperation) {
	finish := func(delay Time, result StoreResult) {
		result.ID = operation.ID
		sim.scheduleAfter(delay, func() { p.runStep(func() { p.core.StepStore(p.localTime(), result) }) })
	}
	if sim.store.down || !sim.reachable(p.side, sim.store.side) {
		applied := operation.Create != nil && sim.reachable(p.side, sim.store.side) && sim.randomBool(0.2)
		if applied {
			sim.scheduleAfter(sim.randomDuration(0, 8*time.Second), func() { sim.store.apply(operation) })
		}
		finish(sim.randomDuration(0, 3*time.Second), StoreResult{Err: errNoReply, MaybeApplied: applied || sim.randomBool(0.5)})
		return
	}
	sim.scheduleAfter(sim.randomDuration(0, 2*time.Millisecond)+sim.randomDuration(0, sim.store.maxDelay), func() {
		result := sim.store.apply(operation)
		if sim.randomBool(sim.store.replyLoss) {
			finish(sim.randomDuration(0, 3*time.Second), StoreResult{Err: errNoReply, MaybeApplied: true})
			return
		}
		finish(sim.randomDuration(0, 2*time.Millisecond)+sim.randomDuration(0, sim.store.maxDelay), result)
		if result.Created {
			sim.notify(*operation.Create)
		}
	})
}

// notify delivers a change to the watchers after watchLag.
func (sim *simulation) notify(change catalog.Change) {
	for _, p := range sim.processes {
		if p.core.isWatcher() && sim.reachable(p.side, sim.store.side) && !sim.store.down {
			sim.scheduleAfter(sim.randomDuration(0, time.Millisecond)+sim.store.watchLag, func() {
				p.runStep(func() { p.core.StepWatched(p.localTime(), []catalog.Change{change}) })
			})
		}
	}
}

// apply performs an operation on the store's data.
func (s *simulatedStore) apply(operation StoreOperation) StoreResult {
	switch {
	case operation.Create != nil:
		change := *operation.Create
		if change.Revision <= uint64(s.deletedCount) {
			return s.createStray(change)
		}
		if change.Revision <= uint64(len(s.changes)) {
			existing := s.changes[change.Revision-1]
			return StoreResult{Existing: &existing}
		}
		s.changes = append(s.changes, change)
		return StoreResult{Created: true}
	case operation.Read != nil:
		var changes []catalog.Change
		for revision := operation.Read.From; revision <= uint64(len(s.changes)); revision++ {
			stray, ok := s.strayChanges[revision]
			if ok {
				changes = append(changes, stray)
			} else if revision > uint64(s.deletedCount) {
				changes = append(changes, s.changes[revision-1])
			}
			if len(changes) == operation.Read.Limit {
				return StoreResult{Changes: changes, More: revision < uint64(len(s.changes))}
			}
		}
		return StoreResult{Changes: changes}
	case operation.SaveCheckpoint != nil:
		if s.checkpoint == nil || s.checkpoint.Revision < operation.SaveCheckpoint.Catalog.Revision {
			s.checkpoint = operation.SaveCheckpoint.Catalog
		}
		for s.deletedCount < int(operation.SaveCheckpoint.Keep)-1 {
			s.deletedCount++
			delete(s.strayChanges, uint64(s.deletedCount))
		}
		return StoreResult{}
	default:
		return StoreResult{Checkpoint: s.checkpoint}
	}
}

// createStray writes a change under a deleted key, like a store that only checks whether the key
// exists.
func (s *simulatedStore) createStray(change catalog.Change) StoreResult {
	if existing, ok := s.strayChanges[change.Revision]; ok {
		return StoreResult{Existing: &existing}
	}
	if s.strayChanges == nil {
		s.strayChanges = map[uint64]catalog.Change{}
	}
	s.strayChanges[change.Revision] = change
	return StoreResult{Created: true}
}
