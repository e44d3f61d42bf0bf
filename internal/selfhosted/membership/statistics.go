package membership

// Statistics counts what the core has done since it was made.
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

// Statistics returns the counts so far.
func (c *Core) Statistics() Statistics {
	statistics := c.statistics
	statistics.HealthScore = c.healthScore
	return statistics
}
