package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Ready holds the packets that the driver has to send and the events that it has to publish.
type Ready struct {
	Packets []Outgoing
	Events  []Event
}

// Core is the membership protocol of one node as a state machine. It performs no I/O and reads no
// clock. It is not safe for concurrent use.
type Core struct {
	config Config
	random *rand.Rand
	self   Member
	seeds  []netip.AddrPort

	now        time.Duration
	started    bool
	joined     bool
	superseded bool
	departed   bool
	// revision is the catalog revision that this node announces, and highestRevision the highest
	// one that it or any peer has announced.
	revision        uint64
	highestRevision uint64

	view         view
	broadcasts   broadcastQueue
	probes       probeState
	sync         syncState
	healthScore  int
	lastPacketAt time.Duration
	// pauseGraceUntil is the time until which this node raises no suspicions and declares no member
	// gone after a pause.
	pauseGraceUntil time.Duration
	nextGossip      time.Duration
	nextZoneCheck   time.Duration

	// memberList caches the result of Members, built at memberListVersion of the view.
	// memberListSelf is the index of this node in it.
	memberList        []Member
	memberListVersion uint64
	memberListSelf    int

	ready      Ready
	statistics Statistics
}

// NewCore returns the core of one node. The incarnation of self must be higher than that of any
// earlier process with the same name; the state of self is ignored. Seeds are peer addresses to
// join through; the address of self is skipped.
func NewCore(config Config, self Member, seeds []netip.AddrPort, random *rand.Rand) *Core {
	self.State, self.Refutation = StateAlive, 0
	c := &Core{
		config: config, self: self, random: random,
		view: newView(), broadcasts: newBroadcastQueue(),
	}
	for _, seed := range seeds {
		if seed != self.Address {
			c.seeds = append(c.seeds, seed)
		}
	}
	c.view.ensureZone(self.Zone)
	c.broadcasts.add(fullUpdate(self))
	return c
}

// SetRevision sets the catalog revision that packets announce.
func (c *Core) SetRevision(revision uint64) {
	c.revision = revision
	c.highestRevision = max(c.highestRevision, revision)
}

// Ready returns the packets and events that accumulated since the last call.
func (c *Core) Ready() Ready {
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// Step processes one received packet.
func (c *Core) Step(now time.Duration, from netip.AddrPort, packet Packet) {
	if c.inactive() {
		return
	}
	c.advance(now)
	c.observeRevision(packet.Revision)
	c.sync.mergingRecords = packet.Kind == PacketRecords
	for _, update := range packet.Updates {
		c.merge(update)
	}
	c.sync.mergingRecords = false
	c.processSender(from, packet)
	if c.inactive() {
		return
	}
	switch packet.Kind {
	case PacketPing:
		c.stepPing(from, packet)
	case PacketAck:
		c.stepAck(packet)
	case PacketIndirectPing:
		c.stepIndirectPing(from, packet)
	case PacketNack:
		c.stepNack(packet)
	case PacketDigest:
		c.stepDigest(from, packet)
	case PacketRecords:
		c.stepRecords(packet)
	case PacketIdentify:
		c.send(from, Packet{Kind: PacketGossip, Updates: []Update{fullUpdate(c.self)}})
	case PacketQuery:
		c.stepQuery(from, packet)
	case PacketGossip:
	}
}

// Tick advances the protocol to the time now. The driver calls it every Config.TickInterval.
func (c *Core) Tick(now time.Duration) {
	if c.inactive() {
		return
	}
	c.advance(now)
	c.tickZones()
	c.tickSuspicions()
	c.tickProbe()
	c.tickSync()
	c.tickGossip()
	c.tickRetention()
}

// pauseGracePeriods is the number of probe periods after a pause in which this process raises no
// suspicions and declares no member gone. A probe that starts after the pause ends within two
// periods.
const pauseGracePeriods = 2

// advance sets the clock. After a pause of this process, missing answers of other members are no
// evidence of failure: advance cancels the running probe, extends the deadline of every suspicion
// by the pause, and sets pauseGraceUntil.
func (c *Core) advance(now time.Duration) {
	if !c.started {
		c.start(now)
		return
	}
	pause := now - c.now
	c.now = now
	if pause <= c.config.MaximumTickGap || c.config.disabled.pauseDetection {
		return
	}
	c.statistics.Pauses++
	c.emit(Event{Kind: EventPaused, Pause: pause})
	c.probes.cancel()
	c.pauseGraceUntil = now + pauseGracePeriods*c.config.ProbeInterval
	for _, p := range c.view.suspects {
		p.suspicion.deadline += pause
	}
}

func (c *Core) start(now time.Duration) {
	c.started = true
	c.now = now
	c.probes.nextProbe = now + c.randomFraction(c.config.ProbeInterval)
	c.nextGossip = now + c.randomFraction(c.config.GossipInterval)
	c.sync.nextSync = now + c.randomFraction(c.config.SyncInterval>>startupSyncs)
	c.sync.nextSeedSync = now
	c.sync.seedIndex = c.random.IntN(len(c.seeds) + 1)
	c.sync.nextReconnect = now + c.randomFraction(c.config.ReconnectInterval)
}

// randomFraction returns a random duration up to interval, which spreads the timers of the nodes.
func (c *Core) randomFraction(interval time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(interval) + 1))
}

func (c *Core) observeRevision(revision uint64) {
	if revision > c.highestRevision {
		c.highestRevision = revision
		c.emit(Event{Kind: EventRevision, Revision: revision})
	}
}
