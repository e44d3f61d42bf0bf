package share

import "time"

const (
	// fleetProbeInterval is the time between two probes of a slow leaf by all nodes of a share
	// together: the executors, if there are any. Probes and hedges of a shard share one budget,
	// and shards with slow leaves need it for hedges. The interval is that of six executors that
	// each probe every 2 s. The probes of 18 such executors would use 9 of a shard's 11 extra
	// attempts per second.
	fleetProbeInterval = 330 * time.Millisecond
	// MinNodeProbeInterval is the shortest time between two probes of a leaf by one node. With
	// 0.5 s, a fleet of 60 nodes performs worse.
	MinNodeProbeInterval = 2 * time.Second
	// maxNodeProbeInterval is the longest time between two probes of a leaf by one node. It
	// bounds how late a node detects that a leaf has recovered.
	maxNodeProbeInterval = 10 * time.Second
)

// ProbeInterval returns the time between two probes of a slow leaf by the node.
func (s Share) ProbeInterval() time.Duration {
	return min(max(time.Duration(s.nodeCounts.Total)*fleetProbeInterval, MinNodeProbeInterval), maxNodeProbeInterval)
}
