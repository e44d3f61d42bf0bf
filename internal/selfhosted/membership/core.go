package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Ready is what the driver has to do after a step or tick.
type Ready struct {
	Packets []Outgoing
	Events  []Event
}

// Core is the membership protocol of one node as a state machine. It does no
// I/O and reads no clock; it must not be used by two goroutines at once.
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
	revision   uint64
	highestRevision      uint64

	view       view
	broadcasts broadcastQueue
	probes    probeState
	sync    syncState
	healthScore     int
	lastPacketAt    time.Duration
	// quietUntil is when this node may accuse others again after a pause.
	noAccusationsUntil time.Duration
	nextGossip time.Duration
	nextZoneCheck  time.Duration

	// listed is the last list of members, made at listedVersion of the view,
	// and listedSelf the place of this node in it.
	memberList        []Member
	memberListVersion uint64
	memberListSelf    int

	ready      Ready
	statistics Statistics
}

// New returns the core of one node. The incarnation of self must be higher
// than that of any process that had the name before; its state is ignored.
// Seeds are peer addresses to join through; those of self are skipped.
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

// Ready returns the packets to send and the events since the last call.
func (c *Core) Ready() Ready {
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// Step processes one packet.
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

// Tick lets time pass. It should be called every Config.TickInterval.
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

// quietPeriods is for how many probe periods after a pause of this process it
// accuses nobody.
// Not measured: chosen because a probe that begins after the pause ends in them.
const pauseGracePeriods = 2

// advance moves the clock. If the process did not run for a while, the silence
// of the others in that time proves nothing: the running probe is dropped,
// suspicions get the time back, and nobody is accused for two periods.
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
	c.noAccusationsUntil = now + pauseGracePeriods*c.config.ProbeInterval
	for _, p := range c.view.suspects {
		p.suspicion.deadline += pause
	}
}

func (c *Core) start(now time.Duration) {
	c.started = true
	c.now = now
	c.probes.nextProbeAt = now + c.randomFraction(c.config.ProbeInterval)
	c.nextGossip = now + c.randomFraction(c.config.GossipInterval)
	c.sync.nextSync = now + c.randomFraction(c.config.SyncInterval>>startupSyncs)
	c.sync.nextSeedSync = now
	c.sync.seedIndex = c.random.IntN(len(c.seeds) + 1)
	c.sync.nextReconnect = now + c.randomFraction(c.config.ReconnectInterval)
}

// fraction returns a random part of an interval, to spread the nodes out.
func (c *Core) randomFraction(interval time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(interval) + 1))
}

func (c *Core) observeRevision(revision uint64) {
	if revision > c.highestRevision {
		c.highestRevision = revision
		c.emit(Event{Kind: EventRevision, Revision: revision})
	}
}
