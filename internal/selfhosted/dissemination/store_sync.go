package dissemination

import "github.com/micaplank/micaplank/internal/catalog"

// storeState holds the state of the node's access to the store.
type storeState struct {
	lastOperationID uint64
	operations      map[uint64]pendingOperation
	readInFlight    bool
	loadInFlight    bool
	nextRead        Time
	hasRead         bool
	lastReadAt      Time
	failures        int
	// current reports that a successful read has shown that the log was up to date. currentAt is
	// the sending time of the last such read.
	current   bool
	currentAt Time
	// diverged reports that the store lacks a change that this node holds or has a different one at
	// its revision.
	diverged bool
	// checkpoint, if set, is saved at checkpointDue.
	checkpoint    *catalog.Catalog
	checkpointDue Time
}

// StoreDiverged reports that the store and this node have different logs: the store was emptied or
// replaced by another one.
func (c *Core) StoreDiverged() bool { return c.store.diverged }

func (c *Core) tickStore(now Time) {
	if now >= c.store.nextRead && c.shouldReadStore(now) {
		c.readStore(now)
	}
	if c.store.checkpoint != nil && now >= c.store.checkpointDue {
		c.saveCheckpoint(now)
	}
}

// shouldReadStore reports whether this node should read the store itself, either because it is a
// watcher of its zone or because it receives no confirmation from peers.
func (c *Core) shouldReadStore(now Time) bool {
	if c.isWatcher() {
		return true
	}
	if !c.confirmed {
		return now-c.startedAt > c.config.Window/4
	}
	return now-c.confirmedAt > c.config.Window/2
}

// readStore reads the changes after the log. The read starts with the last change of the log, so
// that a store without that change is detected.
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

// readInterval doubles with each failure. Its jitter of a quarter keeps many nodes without another
// source of confirmations from reading at the same time.
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

// StepWatched processes changes delivered by a watch of the store. They do not confirm the log,
// because a watch may lag.
func (c *Core) StepWatched(now Time, changes []catalog.Change) {
	c.installFromStore(now, changes)
	if len(changes) > 0 && changes[len(changes)-1].Revision > c.log.revision() {
		c.store.nextRead = now
	}
	c.advanceProposals(now)
}

// handleRead processes the result of a read.
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

// matchesLog reports whether the result of a read is consistent with the log: it contains the last
// change of the log at the time of the request, and none of its changes has the revision of a
// different change in the log.
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

// isContiguous reports whether the result of a read starts with the last held change and has no
// gap. Otherwise older changes have been deleted from the store. The remaining older entries may
// stem from writes that arrived after the deletion and are not part of the log.
func isContiguous(heldRevision uint64, changes []catalog.Change) bool {
	for index, change := range changes {
		if change.Revision != max(heldRevision, 1)+uint64(index) {
			return false
		}
	}
	return true
}

// installFromStore installs changes from the store and pushes the new ones to other members.
func (c *Core) installFromStore(now Time, changes []catalog.Change) {
	installed := c.log.append(changes)
	if len(installed) == 0 {
		return
	}
	c.planCheckpoint(now)
	c.handleInstalled(now)
	c.pushToRandom(installed)
}
