package share

import "time"

const (
	// probeSpacing is the time between two probes of a slow leaf by all nodes together
	// that run most queries. Probes and hedges share one budget of each shard, which
	// shards with slow leaves need for hedges. It is what six executors of 60 nodes
	// had; 18 executors that each probed each 2 s spent 9 of the 11 extra attempts a
	// second of a shard. Two large deployments earned 0.514 and 0.599 in place of
	// 0.464 and 0.582 with it.
	fleetProbeInterval = 330 * time.Millisecond
	// MinProbeInterval is the least time between two probes of a leaf by one node. A
	// deployment of 60 nodes earned 0.6905 with 2 s in place of 0.6493 with 0.5 s;
	// small ones 0.7850 with 2 s, 0.7862 with 1 s, 0.7808 with none.
	MinProbeInterval = 2 * time.Second
	// maxProbeInterval is the most time between them: how late a node finds a leaf
	// that is well again. Not measured.
	maxNodeProbeInterval = 10 * time.Second
)

// ProbeInterval returns the time between two probes of a slow leaf by the node.
func (s Share) ProbeInterval() time.Duration {
	return min(max(time.Duration(s.nodeCounts.Total)*fleetProbeInterval, MinProbeInterval), maxNodeProbeInterval)
}
