package dissemination

import "github.com/micaplank/micaplank/internal/catalog"

// storeState is what the node knows of the store.
type storeState struct {
	lastID     uint64
	operations map[uint64]pendingOperation
	reading    bool
	loading    bool
	nextRead   Time
	everRead   bool
	lastRead   Time
	failures   int
	// answered is when the last successful read was sent.
	answered   bool
	answeredAt Time
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
	if now >= c.store.nextRead && c.readsStore(now) {
		c.readStore(now)
	}
	if c.store.checkpoint != nil && now >= c.store.checkpointDue {
		c.saveCheckpoint(now)
	}
}

// readsStore says whether this node should read the store itself: as a watcher
// of its zone, or because no one else confirms it.
func (c *Core) readsStore(now Time) bool {
	if c.watcher() {
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
	if c.store.reading {
		return
	}
	c.store.reading, c.store.everRead, c.store.lastRead = true, true, now
	c.store.nextRead = now + c.readInterval()
	held := c.log.revision()
	c.operate(pendingOperation{sentAt: now, kind: operationRead, held: held},
		StoreOperation{Read: &StoreRead{From: max(held, 1), Limit: c.config.ReadLimit}})
}

// readInterval doubles with each failure and has a jitter of a quarter, so
// that many nodes without another source do not ask at once.
func (c *Core) readInterval() Time {
	interval := c.config.StoreInterval << min(c.store.failures, 8)
	if !c.watcher() {
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
		c.takeRead(now, pending, result)
	case operationCreate:
		c.takeCreate(now, pending, result)
	case operationLoad:
		c.store.loading = false
		if result.Err == nil && c.replace(result.Checkpoint) {
			c.installed(now)
			c.store.nextRead = now
		}
	}
	c.driveProposals(now)
}

// StepWatched processes changes that a watch of the store delivered. They are
// no evidence of being current: a watch may lag.
func (c *Core) StepWatched(now Time, changes []catalog.Change) {
	c.takeFromStore(now, changes)
	if len(changes) > 0 && changes[len(changes)-1].Revision > c.log.revision() {
		c.store.nextRead = now
	}
	c.driveProposals(now)
}

func (c *Core) takeRead(now Time, pending pendingOperation, result StoreResult) {
	c.store.reading = false
	if result.Err != nil {
		c.store.failures++
		return
	}
	c.store.failures = 0
	c.store.diverged = !c.agrees(pending.held, result.Changes)
	if c.store.diverged {
		return
	}
	if !whole(pending.held, result.Changes) && !c.omit.staleWrite {
		c.loadCheckpoint(now)
		return
	}
	c.takeFromStore(now, result.Changes)
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
		c.store.answered, c.store.answeredAt = true, max(pending.sentAt, c.store.answeredAt)
		c.advance(pending.sentAt)
		c.reconfirm(now)
	}
}

// agrees says whether a read fits the log: it contains the change that was held
// when the read was sent, and no other under a revision that is held.
func (c *Core) agrees(held uint64, changes []catalog.Change) bool {
	if len(changes) == 0 {
		return held == 0
	}
	for _, change := range changes {
		if id, ok := c.log.idAt(change.Revision); ok && id != change.ID {
			return false
		}
	}
	return true
}

// whole says whether a read begins with the change that was held and has no gap.
// If it does not, older changes have been deleted, and what is left of them is
// no part of the log: a write that came too late may have made it.
func whole(held uint64, changes []catalog.Change) bool {
	for index, change := range changes {
		if change.Revision != max(held, 1)+uint64(index) {
			return false
		}
	}
	return true
}

func (c *Core) takeFromStore(now Time, changes []catalog.Change) {
	installed := c.log.append(changes)
	if len(installed) == 0 {
		return
	}
	c.planCheckpoint(now)
	c.installed(now)
	c.pushToRandom(installed)
}
