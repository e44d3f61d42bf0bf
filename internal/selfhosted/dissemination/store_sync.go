package dissemination

import "github.com/micaplank/micaplank/internal/catalog"

// storeState is what the node knows of the store.
type storeState struct {
	lastOperationID uint64
	operations      map[uint64]pendingOperation
	readInFlight    bool
	loadInFlight    bool
	nextRead        Time
	hasRead         bool
	lastReadAt      Time
	failures        int
	// answered is when the last successful read was sent.
	current   bool
	currentAt Time
	// diverged says that the store does not have a change that this node holds.
	diverged bool
	// checkpoint waits to be saved at checkpointDue.
	checkpoint    *catalog.Catalog
	checkpointDue Time
}

// StoreDiverged says that the store lacks a change that this node holds: it
// was emptied, or is another store.
func (c *Core) StoreDiverged() bool { return c.store.diverged }

func (c *Core) tickStore(now Time) {
	if now >= c.store.nextRead && c.shouldReadStore(now) {
		c.readStore(now)
	}
	if c.store.checkpoint != nil && now >= c.store.checkpointDue {
		c.saveCheckpoint(now)
	}
}

// readsStore says whether this node should read the store itself: as a watcher
// of its zone, or because no one else confirms it.
func (c *Core) shouldReadStore(now Time) bool {
	if c.isWatcher() {
		return true
	}
	if !c.confirmed {
		return now-c.startedAt > c.config.Window/4
	}
	return now-c.confirmedAt > c.config.Window/2
}

// readStore reads what follows the log. The read starts with the change that
// is held, so that a store that lacks it is noticed.
func (c *Core) readStore(now Time) {
	if c.store.readInFlight {
		return
	}
	c.store.readInFlight, c.store.hasRead, c.store.lastReadAt = true, true, now
	c.store.nextRead = now + c.readInterval()
	heldRevision := c.log.revision()
	c.startOperation(pendingOperation{sentAt: now, kind: operationRead, heldRevision: heldRevision},
		StoreOperation{Read: &StoreRead{From: max(heldRevision, 1), Limit: c.config.ReadLimit}})
}

// readInterval doubles with each failure and has a jitter of a quarter, so
// that many nodes without another source do not ask at once.
func (c *Core) readInterval() Time {
	interval := c.config.StoreInterval << min(c.store.failures, 8)
	if !c.isWatcher() {
		interval *= 2
	}
	interval = min(interval, c.config.StoreBackoff)
	return interval - interval/8 + Time(c.random.Int64N(int64(interval)/4+1))
}

// StepStore processes the result of a store operation.
func (c *Core) StepStore(now Time, result StoreResult) {
	pending, ok := c.store.operations[result.ID]
	if !ok {
		return
	}
	delete(c.store.operations, result.ID)
	switch pending.kind {
	case operationRead:
		c.handleRead(now, pending, result)
	case operationCreate:
		c.handleCreate(now, pending, result)
	case operationLoad:
		c.store.loadInFlight = false
		if result.Err == nil && c.installCheckpoint(result.Checkpoint) {
			c.handleInstalled(now)
			c.store.nextRead = now
		}
	}
	c.advanceProposals(now)
}

// StepWatched processes changes that a watch of the store delivered. They are
// no evidence of being current: a watch may lag.
func (c *Core) StepWatched(now Time, changes []catalog.Change) {
	c.installFromStore(now, changes)
	if len(changes) > 0 && changes[len(changes)-1].Revision > c.log.revision() {
		c.store.nextRead = now
	}
	c.advanceProposals(now)
}

func (c *Core) handleRead(now Time, pending pendingOperation, result StoreResult) {
	c.store.readInFlight = false
	if result.Err != nil {
		c.store.failures++
		return
	}
	c.store.failures = 0
	c.store.diverged = !c.matchesLog(pending.heldRevision, result.Changes)
	if c.store.diverged {
		return
	}
	if !isContiguous(pending.heldRevision, result.Changes) && !c.disabled.staleWrite {
		c.loadCheckpoint(now)
		return
	}
	c.installFromStore(now, result.Changes)
	last := uint64(0)
	if len(result.Changes) > 0 {
		last = result.Changes[len(result.Changes)-1].Revision
	}
	switch {
	case last > c.log.revision() && c.log.broken == nil:
		c.loadCheckpoint(now)
	case result.More && c.log.broken == nil:
		c.store.nextRead = now
	case last <= c.log.revision():
		c.store.current, c.store.currentAt = true, max(pending.sentAt, c.store.currentAt)
		c.advanceConfirmation(pending.sentAt)
		c.reconfirm(now)
	}
}

// agrees says whether a read fits the log: it contains the change that was held
// when the read was sent, and no other under a revision that is held.
func (c *Core) matchesLog(heldRevision uint64, changes []catalog.Change) bool {
	if len(changes) == 0 {
		return heldRevision == 0
	}
	for _, change := range changes {
		if id, ok := c.log.changeIDAt(change.Revision); ok && id != change.ID {
			return false
		}
	}
	return true
}

// whole says whether a read begins with the change that was held and has no gap.
// If it does not, older changes have been deleted, and what is left of them is
// no part of the log: a write that came too late may have made it.
func isContiguous(heldRevision uint64, changes []catalog.Change) bool {
	for index, change := range changes {
		if change.Revision != max(heldRevision, 1)+uint64(index) {
			return false
		}
	}
	return true
}

func (c *Core) installFromStore(now Time, changes []catalog.Change) {
	installed := c.log.append(changes)
	if len(installed) == 0 {
		return
	}
	c.planCheckpoint(now)
	c.handleInstalled(now)
	c.pushToRandom(installed)
}
