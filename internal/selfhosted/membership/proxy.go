package membership

import (
	"net/netip"
	"slices"
	"time"
)

// proxiedProbe is a probe that this node makes as a proxy for the node at origin. The origin
// numbered its request originSequence.
type proxiedProbe struct {
	sequence       uint64
	origin         netip.AddrPort
	originSequence uint64
	target         string
	deadline       time.Duration
	nackSent       bool
}

// maximumProxiedProbes bounds the probes that a node makes as a proxy at a time. It limits the
// packets and the memory that other nodes can cause.
const maximumProxiedProbes = 64

func (c *Core) stepIndirectPing(from netip.AddrPort, packet Packet) {
	p := &c.probes
	if len(p.proxied) >= maximumProxiedProbes {
		return
	}
	p.sequence++
	p.proxied = append(p.proxied, proxiedProbe{
		sequence: p.sequence, origin: from, originSequence: packet.Sequence,
		target: packet.Target, deadline: c.now + c.config.ProbeTimeout,
	})
	c.send(packet.TargetAddress, Packet{Kind: PacketPing, Sequence: p.sequence, Target: packet.Target})
}

// tickProxied sends a nack for each proxied probe that has timed out. It drops a probe once the
// prober, even with the maximum health score, has ended its own probe.
func (c *Core) tickProxied() {
	p := &c.probes
	for i := range p.proxied {
		probe := &p.proxied[i]
		if !probe.nackSent && c.now >= probe.deadline {
			probe.nackSent = true
			c.send(probe.origin, Packet{Kind: PacketNack, Sequence: probe.originSequence, Target: probe.target})
		}
	}
	p.proxied = slices.DeleteFunc(p.proxied, func(probe proxiedProbe) bool {
		return c.now >= probe.deadline+maximumHealthScore*c.config.ProbeInterval
	})
}
