package membership

// Statistics holds the counters of a Core since its creation, and its current health score.
type Statistics struct {
	Probes            uint64
	ProbesIndirect    uint64
	ProbesFailed      uint64
	SuspicionsRaised  uint64
	SuspicionsRefuted uint64
	DeclaredGone      uint64
	SelfRefutations   uint64
	Syncs             uint64
	SyncRecords       uint64
	Pauses            uint64
	HealthScore       int
}

// Statistics returns the current counters.
func (c *Core) Statistics() Statistics {
	statistics := c.statistics
	statistics.HealthScore = c.healthScore
	return statistics
}
