package membership

import (
	"math"
	"time"
)

// Config holds the intervals and limits of the protocol. Start from DefaultConfig and change single
// fields.
type Config struct {
	// TickInterval is the time between two calls of Core.Tick.
	TickInterval time.Duration
	// ProbeInterval is the period in which each node probes one other node.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which an unanswered direct probe is repeated through proxies.
	// It must exceed the largest round trip between regions.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of proxies that are asked to ping a member that did not answer.
	IndirectProbes int
	// GossipInterval is the time between two rounds of gossip packets, which carry only waiting
	// updates, and GossipFanout is the number of receivers per round.
	GossipInterval time.Duration
	GossipFanout   int
	// RetransmitMultiplier times log10 of the number of members is how often a node transmits one
	// update.
	RetransmitMultiplier float64
	// SuspicionMultiplier times log10 of the number of members times ProbeInterval is the minimum
	// time from suspicion to gone.
	SuspicionMultiplier float64
	// SuspicionMaximumFactor times the minimum time is the time from suspicion to gone if no other
	// member confirms the suspicion.
	SuspicionMaximumFactor float64
	// SuspicionConfirmations is the number of confirmations by other members that reduces the time
	// from suspicion to gone to its minimum.
	SuspicionConfirmations int
	// SyncInterval is the mean time between two digest exchanges that a node starts with random
	// members.
	SyncInterval time.Duration
	// SyncPackets is the maximum number of packets sent in answer to one digest, and
	// SyncRepliesPerSecond is the maximum number of digests answered per second.
	SyncPackets          int
	SyncRepliesPerSecond int
	// SeedInterval is the mean time between two digest exchanges with a seed. These exchanges merge
	// groups of nodes that do not know of each other. In a large cluster each node performs them
	// less often; see seedSyncsPerInterval.
	SeedInterval time.Duration
	// ReconnectInterval is the mean time between two attempts, by all nodes together, to reach one
	// member that is gone.
	ReconnectInterval time.Duration
	// GoneRetention is how long a member that is gone is remembered. Until then, an outdated record
	// cannot add the member again.
	GoneRetention time.Duration
	// ZoneHold is the maximum duration of a zone hold; see the package comment.
	ZoneHold time.Duration
	// MaximumTickGap is the longest time between two calls of the core that does not count as a
	// pause of this process.
	MaximumTickGap time.Duration
	// PacketLimit is the maximum size of an encoded packet in bytes.
	PacketLimit int

	disabled disabledMechanisms
}

// disabledMechanisms names the mechanisms of the protocol that tests disable, to show that a test
// fails without the mechanism that it covers.
type disabledMechanisms struct {
	refutation      bool
	incarnations    bool
	pauseDetection  bool
	zoneHold        bool
	indirectProbes  bool
	finalCheck      bool
	suspectReprobes bool
	digestExchange  bool
}

// DefaultConfig returns the values for a network with round trips below 300 ms. They balance the
// time to detect a crash, the traffic of a node and the false suspicions at 20 % packet loss; the
// benchmarks of this package report all three.
func DefaultConfig() Config {
	return Config{
		TickInterval:           100 * time.Millisecond,
		ProbeInterval:          time.Second,
		ProbeTimeout:           350 * time.Millisecond,
		IndirectProbes:         3,
		GossipInterval:         200 * time.Millisecond,
		GossipFanout:           3,
		RetransmitMultiplier:   3,
		SuspicionMultiplier:    3,
		SuspicionMaximumFactor: 3,
		SuspicionConfirmations: 3,
		SyncInterval:           10 * time.Second,
		SyncPackets:            4,
		SyncRepliesPerSecond:   20,
		SeedInterval:           time.Minute,
		ReconnectInterval:      5 * time.Second,
		GoneRetention:          24 * time.Hour,
		ZoneHold:               10 * time.Minute,
		MaximumTickGap:         time.Second,
		PacketLimit:            1200,
	}
}

// logScale returns the factor by which retransmissions and suspicion times grow with the number of
// members. It is at least 1.
func logScale(members int) float64 {
	return math.Max(1, math.Log10(float64(members)))
}

// retransmissions returns how often one update is transmitted.
func (c Config) retransmissions(members int) int {
	return int(math.Ceil(c.RetransmitMultiplier * logScale(members+1)))
}

// suspicionTime returns the time from suspicion to gone for a number of confirmations. It falls
// with the logarithm of the confirmations, as Lifeguard defines it.
func (c Config) suspicionTime(members, confirmations int) time.Duration {
	shortest := c.SuspicionMultiplier * logScale(members) * float64(c.ProbeInterval)
	needed := min(c.SuspicionConfirmations, members-2)
	if needed <= 0 || confirmations >= needed {
		return time.Duration(shortest)
	}
	longest := shortest * c.SuspicionMaximumFactor
	share := math.Log(float64(confirmations+1)) / math.Log(float64(needed+1))
	return time.Duration(longest - share*(longest-shortest))
}
