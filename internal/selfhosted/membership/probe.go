package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// probing is the state of this node's own probes, and of those that it makes as a
// proxy for others.
type probing struct {
	next     time.Duration
	sequence uint64
	// order is the members in the order in which they are probed; position is
	// the next one.
	order    []*peer
	position int

	target      *peer
	incarnation uint64
	current     uint64
	sentAt      time.Duration
	indirect    bool
	nacksDue    int
	nacks       int

	proxied []proxiedProbe
}

// include puts a new member at a random place of what is left of the order.
func (p *probing) include(random *rand.Rand, member *peer) {
	p.order = append(p.order, member)
	last := len(p.order) - 1
	place := p.position + random.IntN(last-p.position+1)
	p.order[place], p.order[last] = p.order[last], p.order[place]
}

// abandon drops the running probe without a verdict.
func (p *probing) abandon() { p.target = nil }

// nextTarget returns the next member in the shuffled order, or nil.
func (c *Core) nextTarget() *peer {
	p := &c.probing
	for range 2 {
		for p.position < len(p.order) {
			candidate := p.order[p.position]
			p.position++
			if !candidate.gone() && c.view.byName[candidate.Name] == candidate {
				return candidate
			}
		}
		p.order = append(p.order[:0], c.view.live...)
		p.position = 0
		c.random.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
	}
	return nil
}

// tickProbe ends the running probe, asks proxies, or begins the next probe.
func (c *Core) tickProbe() {
	c.tickProxied()
	p := &c.probing
	if p.target != nil && !p.indirect && c.now >= p.sentAt+c.patience(c.config.ProbeTimeout) {
		c.probeIndirectly()
	}
	if c.now < p.next {
		return
	}
	if p.target != nil {
		c.failProbe()
	}
	p.next = c.now + c.patience(c.config.ProbeInterval)
	if target := c.nextTarget(); target != nil {
		c.beginProbe(target)
	}
	c.reprobeSuspects()
}

func (c *Core) beginProbe(target *peer) {
	p := &c.probing
	p.sequence++
	p.target, p.incarnation, p.current = target, target.Incarnation, p.sequence
	p.sentAt, p.indirect, p.nacks, p.nacksDue = c.now, false, 0, 0
	c.statistics.Probes++
	c.ping(target, p.sequence)
}

func (c *Core) ping(target *peer, sequence uint64) {
	c.sendTo(target, Packet{Kind: PacketPing, Sequence: sequence, Target: target.Name})
}

// probeIndirectly pings the target again, and through proxies.
func (c *Core) probeIndirectly() {
	p := &c.probing
	p.indirect = true
	c.statistics.ProbesIndirect++
	c.ping(p.target, p.current)
	if c.config.disabled.indirectProbes {
		return
	}
	for _, proxy := range c.chooseProxies(p.target) {
		p.nacksDue++
		c.sendTo(proxy, Packet{
			Kind: PacketIndirectPing, Sequence: p.current,
			Target: p.target.Name, TargetAddress: p.target.Address,
		})
	}
}

// chooseProxies picks one member in the target's zone, one in this node's own
// zone, and the others anywhere, so that a broken link between two zones or
// two machines does not look like a broken target.
func (c *Core) chooseProxies(target *peer) []*peer {
	var proxies []*peer
	usable := func(p *peer) bool {
		return p != target && p.State == StateAlive && !slices.Contains(proxies, p)
	}
	add := func(candidates []*peer) {
		if len(proxies) >= c.config.IndirectProbes {
			return
		}
		if p := pick(c.random, candidates, usable); p != nil {
			proxies = append(proxies, p)
		}
	}
	add(c.view.zone(target.Zone).live)
	add(c.view.zone(c.self.Zone).live)
	for range c.config.IndirectProbes {
		add(c.view.live)
	}
	return proxies
}

// failProbe ends a probe that nobody answered.
func (c *Core) failProbe() {
	p := &c.probing
	target := p.target
	p.target = nil
	c.statistics.ProbesFailed++
	inDoubt := p.nacks < p.nacksDue || p.nacksDue == 0
	if inDoubt && !c.view.zone(target.Zone).held {
		c.worsen()
	}
	if target.gone() || target.Incarnation != p.incarnation || c.now < c.quietUntil {
		return
	}
	c.accuse(target)
}

// stepPing answers a ping that is meant for this node.
func (c *Core) stepPing(from netip.AddrPort, packet Packet) {
	if packet.Target == c.self.Name {
		c.send(from, Packet{Kind: PacketAck, Sequence: packet.Sequence})
	}
}

// stepAck ends this node's probe, or passes the ack on to who asked for it.
func (c *Core) stepAck(packet Packet) {
	subject := packet.From
	if packet.Subject.Name != "" {
		subject = packet.Subject
		if known := c.view.byName[subject.Name]; known != nil && known.Incarnation == subject.Incarnation {
			c.merge(subject)
		}
	}
	p := &c.probing
	if p.target != nil && packet.Sequence == p.current && subject.Name == p.target.Name {
		p.target = nil
		c.improve()
		return
	}
	for i, probe := range p.proxied {
		if probe.sequence == packet.Sequence && probe.target == subject.Name {
			c.send(probe.origin, Packet{Kind: PacketAck, Sequence: probe.original, Subject: subject})
			p.proxied = slices.Delete(p.proxied, i, i+1)
			return
		}
	}
}

func (c *Core) stepNack(packet Packet) {
	if packet.Sequence == c.probing.current {
		c.probing.nacks++
	}
}
