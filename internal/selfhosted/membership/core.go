package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// EventKind says what an event is about.
type EventKind uint8

// The kinds of events.
const (
	// EventChanged reports that a member was added, that its state,
	// incarnation or addresses changed, or that it was forgotten.
	EventChanged EventKind = iota + 1
	// EventSuperseded reports that another process holds the name of this
	// node with a higher incarnation. The core is silent from then on; the
	// node must stop serving.
	EventSuperseded
	// EventZoneHeld and EventZoneReleased report the begin and end of a hold.
	EventZoneHeld
	EventZoneReleased
	// EventPaused reports that this process did not run for Event.Pause.
	EventPaused
	// EventRevision reports that a peer holds Event.Revision, higher than any
	// heard of before.
	EventRevision
)

// Event is a change of what this node knows.
type Event struct {
	Kind EventKind
	// Member is the member after the change, and Previous before it; Previous
	// has no name if the member was not known.
	Member   Member
	Previous Member
	Zone     string
	Pause    time.Duration
	Revision uint64
}

// Ready is what the driver has to do after a step or tick.
type Ready struct {
	Packets []Outgoing
	Events  []Event
}

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
	heard      uint64

	view       view
	broadcasts broadcastQueue
	probing    probing
	syncing    syncing
	health     int
	heardAt    time.Duration
	// quietUntil is when this node may accuse others again after a pause.
	quietUntil time.Duration
	nextGossip time.Duration
	nextZones  time.Duration

	// listed is the last list of members, made at listedVersion of the view,
	// and listedSelf the place of this node in it.
	listed        []Member
	listedVersion uint64
	listedSelf    int

	ready      Ready
	statistics Statistics
}

// New returns the core of one node. The incarnation of self must be higher
// than that of any process that had the name before; its state is ignored.
// Seeds are peer addresses to join through; those of self are skipped.
func New(config Config, self Member, seeds []netip.AddrPort, random *rand.Rand) *Core {
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
	c.view.zone(self.Zone)
	c.broadcasts.add(fullUpdate(self))
	return c
}

// Self returns this node's own record.
func (c *Core) Self() Member { return c.self }

// Joined reports whether this node has heard from any other, or has no seeds.
func (c *Core) Joined() bool { return c.joined || len(c.seeds) == 0 }

// Superseded reports whether the name belongs to a newer process.
func (c *Core) Superseded() bool { return c.superseded }

// SetRevision sets the catalog revision that packets announce.
func (c *Core) SetRevision(revision uint64) {
	c.revision = revision
	c.heard = max(c.heard, revision)
}

// Members returns all known members that are not gone, this node included,
// ordered by name. The list is rebuilt only after a change; it must not be
// modified.
func (c *Core) Members() []Member {
	if c.listed == nil || c.listedVersion != c.view.version || c.listed[c.listedSelf] != c.self {
		c.listed = make([]Member, 0, c.members())
		for _, p := range c.view.ordered {
			c.listed = append(c.listed, p.Member)
		}
		c.listedSelf, _ = slices.BinarySearchFunc(c.listed, c.self.Name, func(m Member, name string) int {
			return strings.Compare(m.Name, name)
		})
		c.listed = slices.Insert(c.listed, c.listedSelf, c.self)
		c.listedVersion = c.view.version
	}
	return c.listed
}

// Lookup returns what is known of a member, gone ones included.
func (c *Core) Lookup(name string) (Member, bool) {
	if name == c.self.Name {
		return c.self, true
	}
	p := c.view.byName[name]
	if p == nil {
		return Member{}, false
	}
	return p.Member, true
}

// ViewHash returns a hash of the view: the exclusive or of ViewHash of all
// members that are not gone, this node included. Equal views have equal
// hashes.
func (c *Core) ViewHash() uint64 {
	hash := c.self.ViewHash()
	for _, p := range c.view.live {
		hash ^= p.Member.ViewHash()
	}
	return hash
}

// HeldZones returns the names of the zones that are held.
func (c *Core) HeldZones() []string {
	var names []string
	for _, z := range c.view.zones {
		if z.held {
			names = append(names, z.name)
		}
	}
	return names
}

// Statistics returns the counts so far.
func (c *Core) Statistics() Statistics {
	statistics := c.statistics
	statistics.HealthScore = c.health
	return statistics
}

// Ready returns the packets to send and the events since the last call.
func (c *Core) Ready() Ready {
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// Leave announces a planned stop. The node goes on answering.
func (c *Core) Leave() {
	if c.self.State == StateAlive {
		c.announce(StateLeaving)
	}
}

// Depart declares this node gone. It sends that at once to a few members and
// is silent from then on.
func (c *Core) Depart() {
	if c.silent() {
		return
	}
	c.announce(StateGone)
	c.notify()
	c.departed = true
}

// notify sends the last words of this node to a few members.
func (c *Core) notify() {
	const notices = 6
	for i := range min(notices, len(c.view.live)) {
		if p := c.gossipTarget(i); p != nil {
			c.sendTo(p, Packet{Kind: PacketGossip})
		}
	}
}

// announce changes this node's own record and spreads it.
func (c *Core) announce(state State) {
	c.self.Refutation++
	c.self.State = state
	c.broadcasts.add(fullUpdate(c.self))
}

func (c *Core) silent() bool { return c.superseded || c.departed }

// members is the number of members that are not gone, this node included.
func (c *Core) members() int { return len(c.view.live) + 1 }

// Step takes one packet in.
func (c *Core) Step(now time.Duration, from netip.AddrPort, packet Packet) {
	if c.silent() {
		return
	}
	c.advance(now)
	c.hearRevision(packet.Revision)
	c.syncing.receiving = packet.Kind == PacketRecords
	for _, update := range packet.Updates {
		c.merge(update)
	}
	c.syncing.receiving = false
	c.observeSender(from, packet)
	if c.silent() {
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
	if c.silent() {
		return
	}
	c.advance(now)
	c.tickZones()
	c.tickSuspicions()
	c.tickProbe()
	c.tickSync()
	c.tickGossip()
	c.tickGone()
}

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
	c.event(Event{Kind: EventPaused, Pause: pause})
	c.probing.abandon()
	c.quietUntil = now + 2*c.config.ProbeInterval
	for _, p := range c.view.suspects {
		p.suspicion.deadline += pause
	}
}

func (c *Core) start(now time.Duration) {
	c.started = true
	c.now = now
	c.probing.next = now + c.fraction(c.config.ProbeInterval)
	c.nextGossip = now + c.fraction(c.config.GossipInterval)
	c.syncing.next = now + c.fraction(c.config.SyncInterval>>hurriedSyncs)
	c.syncing.nextSeed = now
	c.syncing.seed = c.random.IntN(len(c.seeds) + 1)
	c.syncing.nextReconnect = now + c.fraction(c.config.ReconnectInterval)
}

// fraction returns a random part of an interval, to spread the nodes out.
func (c *Core) fraction(interval time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(interval) + 1))
}

func (c *Core) hearRevision(revision uint64) {
	if revision > c.heard {
		c.heard = revision
		c.event(Event{Kind: EventRevision, Revision: revision})
	}
}

func (c *Core) event(event Event) { c.ready.Events = append(c.ready.Events, event) }

// worsen and improve move the local health score: the higher it is, the more
// time this node gives others before it accuses them.
func (c *Core) worsen() { c.health = min(c.health+1, maximumHealthScore) }

func (c *Core) improve() { c.health = max(c.health-1, 0) }

const maximumHealthScore = 8
