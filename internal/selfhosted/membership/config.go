package membership

import (
	"math"
	"time"
)

// Config holds the times and limits of the protocol. Use DefaultConfig and
// change single fields.
type Config struct {
	// TickInterval is how often the driver calls Tick.
	TickInterval time.Duration
	// ProbeInterval is the period in which each node probes one other.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may take before proxies are
	// asked. It must be above the largest round trip between regions.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of proxies that are asked to ping a member
	// that did not answer.
	IndirectProbes int
	// GossipInterval and GossipFanout set how often, and to how many members,
	// waiting updates are sent on packets of their own.
	GossipInterval time.Duration
	GossipFanout   int
	// RetransmitMultiplier times log10 of the number of members is how often
	// a node passes one update on.
	RetransmitMultiplier float64
	// SuspicionMultiplier times log10 of the number of members times
	// ProbeInterval is the shortest time from suspicion to gone.
	SuspicionMultiplier float64
	// SuspicionMaximumFactor times the shortest time is the time from
	// suspicion to gone if no other member confirms the suspicion.
	SuspicionMaximumFactor float64
	// SuspicionConfirmations is the number of other accusers that brings the
	// time down to the shortest.
	SuspicionConfirmations int
	// SyncInterval is the mean time between digest exchanges of a node.
	SyncInterval time.Duration
	// SyncPackets is the largest number of packets in answer to one digest,
	// and SyncRepliesPerSecond limits the digests answered.
	SyncPackets          int
	SyncRepliesPerSecond int
	// SeedInterval is the time between digest exchanges with a seed address,
	// which join groups of nodes that do not know of each other. A node among
	// many makes them more rarely.
	SeedInterval time.Duration
	// ReconnectInterval is the time in which each member that is gone is
	// tried about once, by one of all the nodes.
	ReconnectInterval time.Duration
	// GoneRetention is how long a member that is gone is remembered, as a
	// fence against old records of it.
	GoneRetention time.Duration
	// ZoneHold is how long a zone may be held; see the package comment.
	ZoneHold time.Duration
	// MaximumTickGap is the longest time between two calls of the core that
	// does not count as a pause of this process.
	MaximumTickGap time.Duration
	// PacketLimit bounds the size of a packet in bytes.
	PacketLimit int

	disabled disabledMechanisms
}

// mechanisms names parts of the protocol that tests switch off, to see the
// proof of each fail.
type disabledMechanisms struct {
	refutation       bool
	incarnations     bool
	pauseDetection   bool
	zoneHold         bool
	indirectProbes   bool
	finalCheck        bool
	suspectReprobes bool
	digestExchange  bool
}

// DefaultConfig returns the values for a network with round trips below
// 300 ms. They were measured together, by the benchmarks of this package with
// 100 nodes in virtual time: how soon a crashed node is suspected and gone, what
// a node sends, and false suspicions at 20 % loss (docs/PROVED.md).
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

// scale is the logarithm by which retransmissions and suspicion times grow
// with the number of members; it is at least 1.
func logScale(members int) float64 {
	return math.Max(1, math.Log10(float64(members)))
}

func (c Config) retransmissions(members int) int {
	return int(math.Ceil(c.RetransmitMultiplier * logScale(members+1)))
}

// suspicionTime is the time from suspicion to gone with the given number of
// confirmations.
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
