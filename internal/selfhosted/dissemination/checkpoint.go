package dissemination

import "time"

// checkpointDelay is the mean time between the turns of the watchers to write a
// checkpoint.
const meanCheckpointDelay = 2 * time.Second

// loadCheckpoint asks the store for a checkpoint, after a gap in the log.
func (c *Core) loadCheckpoint(now Time) {
	if c.store.loadInFlight {
		return
	}
	c.store.loadInFlight = true
	c.startOperation(pendingOperation{sentAt: now, kind: operationLoad}, StoreOperation{LoadCheckpoint: true})
}

// planCheckpoint lets the watchers write a checkpoint. Each waits for a random
// time, so that most find it written.
func (c *Core) planCheckpoint(now Time) {
	latest := c.log.latest
	c.log.latest = nil
	if latest == nil || !c.isWatcher() {
		return
	}
	watchers := len(c.members.roots) + c.config.WatchersPerZone
	c.store.checkpoint = latest
	c.store.checkpointDue = now + Time(c.random.Int64N(int64(watchers)*int64(meanCheckpointDelay)))
}

func (c *Core) saveCheckpoint(now Time) {
	save := &SaveCheckpoint{Catalog: c.store.checkpoint}
	c.store.checkpoint = nil
	if save.Catalog.Revision > c.config.RetainedInStore {
		save.Keep = save.Catalog.Revision - c.config.RetainedInStore + 1
	}
	c.startOperation(pendingOperation{sentAt: now, kind: operationSave}, StoreOperation{SaveCheckpoint: save})
}
