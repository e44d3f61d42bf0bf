package dissemination

import "time"

// meanCheckpointDelay is the mean time between the attempts of different watchers to write a
// checkpoint.
const meanCheckpointDelay = 2 * time.Second

// loadCheckpoint requests a checkpoint from the store after a gap in the log.
func (c *Core) loadCheckpoint(now Time) {
	if c.store.loadInFlight {
		return
	}
	c.store.loadInFlight = true
	c.startOperation(pendingOperation{sentAt: now, kind: operationLoad}, StoreOperation{LoadCheckpoint: true})
}

// planCheckpoint schedules a checkpoint if this node is a watcher. Each watcher waits for a random
// time, so that usually only the first one writes the checkpoint.
func (c *Core) planCheckpoint(now Time) {
	latest := c.log.checkpoint
	c.log.checkpoint = nil
	if latest == nil || !c.isWatcher() {
		return
	}
	watchers := len(c.members.roots) + c.config.WatchersPerZone
	c.store.checkpoint = latest
	c.store.checkpointDue = now + Time(c.random.Int64N(int64(watchers)*int64(meanCheckpointDelay)))
}

// saveCheckpoint writes the scheduled checkpoint and lets the store delete older changes.
func (c *Core) saveCheckpoint(now Time) {
	save := &SaveCheckpoint{Catalog: c.store.checkpoint}
	c.store.checkpoint = nil
	if save.Catalog.Revision > c.config.RetainedInStore {
		save.Keep = save.Catalog.Revision - c.config.RetainedInStore + 1
	}
	c.startOperation(pendingOperation{sentAt: now, kind: operationSave}, StoreOperation{SaveCheckpoint: save})
}
