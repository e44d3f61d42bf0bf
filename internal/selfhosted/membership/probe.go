package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// probeState holds the state of the probes of this node and of those that it makes as a proxy.
type probeState struct {
	nextProbe time.Duration
	sequence  uint64
	// probeOrder lists the members in the shuffled order in which they are probed; nextIndex is the
	// index of the next one.
	probeOrder []*peer
	nextIndex  int

	// target is the member that is probed now, or nil. The fields below describe its probe.
	target            *peer
	targetIncarnation uint64
	targetSequence    uint64
	sentAt            time.Duration
	proxiesAsked      bool
	nacksExpected     int
	nacksReceived     int

	proxied []proxiedProbe
}

// insertMember inserts a new member at a random index of the rest of the probe order.
func (p *probeState) insertMember(random *rand.Rand, member *peer) {
	p.probeOrder = append(p.probeOrder, member)
	last := len(p.probeOrder) - 1
	index := p.nextIndex + random.IntN(last-p.nextIndex+1)
	p.probeOrder[index], p.probeOrder[last] = p.probeOrder[last], p.probeOrder[index]
}

// cancel ends the running probe without a result.
func (p *probeState) cancel() { p.target = nil }

// nextTarget returns the next member in the probe order, or nil if no member can be probed. It
// shuffles the members again at the end of the order.
func (c *Core) nextTarget() *peer {
	p := &c.probes
	for range 2 {
		for p.nextIndex < len(p.probeOrder) {
			candidate := p.probeOrder[p.nextIndex]
			p.nextIndex++
			if !candidate.gone() && c.view.byName[candidate.Name] == candidate {
				return candidate
			}
		}
		p.probeOrder = append(p.probeOrder[:0], c.view.live...)
		p.nextIndex = 0
		c.random.Shuffle(len(p.probeOrder), func(i, j int) { p.probeOrder[i], p.probeOrder[j] = p.probeOrder[j], p.probeOrder[i] })
	}
	return nil
}

// tickProbe falls back to indirect probes when the direct one has timed out. At the end of the
// probe period it ends the running probe and starts the next one.
func (c *Core) tickProbe() {
	c.tickProxied()
	p := &c.probes
	if p.target != nil && !p.proxiesAsked && c.now >= p.sentAt+c.scaleByHealth(c.config.ProbeTimeout) {
		c.probeIndirectly()
	}
	if c.now < p.nextProbe {
		return
	}
	if p.target != nil {
		c.failProbe()
	}
	p.nextProbe = c.now + c.scaleByHealth(c.config.ProbeInterval)
	if target := c.nextTarget(); target != nil {
		c.beginProbe(target)
	}
	c.reprobeSuspects()
}

func (c *Core) beginProbe(target *peer) {
	p := &c.probes
	p.sequence++
	p.target, p.targetIncarnation, p.targetSequence = target, target.Incarnation, p.sequence
	p.sentAt, p.proxiesAsked, p.nacksReceived, p.nacksExpected = c.now, false, 0, 0
	c.statistics.Probes++
	c.ping(target, p.sequence)
}

func (c *Core) ping(target *peer, sequence uint64) {
	c.sendToPeer(target, Packet{Kind: PacketPing, Sequence: sequence, Target: target.Name})
}

// probeIndirectly pings the target again, directly and through proxies.
func (c *Core) probeIndirectly() {
	p := &c.probes
	p.proxiesAsked = true
	c.statistics.ProbesIndirect++
	c.ping(p.target, p.targetSequence)
	if c.config.disabled.indirectProbes {
		return
	}
	for _, proxy := range c.chooseProxies(p.target) {
		p.nacksExpected++
		c.sendToPeer(proxy, Packet{
			Kind: PacketIndirectPing, Sequence: p.targetSequence,
			Target: p.target.Name, TargetAddress: p.target.Address,
		})
	}
}

// chooseProxies picks one member in the target's zone, one in this node's zone, and the rest from
// all members. A broken link between two zones or two machines therefore does not look like a
// failed target.
func (c *Core) chooseProxies(target *peer) []*peer {
	var proxies []*peer
	usable := func(p *peer) bool {
		return p != target && p.State == StateAlive && !slices.Contains(proxies, p)
	}
	add := func(candidates []*peer) {
		if len(proxies) >= c.config.IndirectProbes {
			return
		}
		if p := pickRandom(c.random, candidates, usable); p != nil {
			proxies = append(proxies, p)
		}
	}
	add(c.view.ensureZone(target.Zone).live)
	add(c.view.ensureZone(c.self.Zone).live)
	for range c.config.IndirectProbes {
		add(c.view.live)
	}
	return proxies
}

// failProbe ends a probe that received no ack and suspects the target. Missing nacks, or the
// absence of proxies, suggest that this node itself is at fault, and raise its health score.
func (c *Core) failProbe() {
	p := &c.probes
	target := p.target
	p.target = nil
	c.statistics.ProbesFailed++
	localFault := p.nacksReceived < p.nacksExpected || p.nacksExpected == 0
	if localFault && !c.view.ensureZone(target.Zone).held {
		c.raiseHealthScore()
	}
	if target.gone() || target.Incarnation != p.targetIncarnation || c.now < c.pauseGraceUntil {
		return
	}
	c.raiseSuspicion(target)
}

// stepPing acks a ping that names this node as its target.
func (c *Core) stepPing(from netip.AddrPort, packet Packet) {
	if packet.Target == c.self.Name {
		c.send(from, Packet{Kind: PacketAck, Sequence: packet.Sequence})
	}
}

// stepAck ends the running probe, or forwards the ack to the node that requested an indirect probe.
func (c *Core) stepAck(packet Packet) {
	subject := packet.From
	if packet.Subject.Name != "" {
		subject = packet.Subject
		if existing := c.view.byName[subject.Name]; existing != nil && existing.Incarnation == subject.Incarnation {
			c.merge(subject)
		}
	}
	p := &c.probes
	if p.target != nil && packet.Sequence == p.targetSequence && subject.Name == p.target.Name {
		p.target = nil
		c.lowerHealthScore()
		return
	}
	for i, probe := range p.proxied {
		if probe.sequence == packet.Sequence && probe.target == subject.Name {
			c.send(probe.origin, Packet{Kind: PacketAck, Sequence: probe.originSequence, Subject: subject})
			p.proxied = slices.Delete(p.proxied, i, i+1)
			return
		}
	}
}

func (c *Core) stepNack(packet Packet) {
	if packet.Sequence == c.probes.targetSequence {
		c.probes.nacksReceived++
	}
}
