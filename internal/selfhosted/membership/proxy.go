package membership

import (
	"net/netip"
	"slices"
	"time"
)

// proxiedProbe is a probe that this node makes for another one, the origin.
type proxiedProbe struct {
	sequence uint64
	origin   netip.AddrPort
	originSequence uint64
	target   string
	deadline time.Duration
	nackSent bool
}

// maximumProxied bounds the probes that one node makes for others at a time.
// Not measured: chosen because it bounds what others can make a node send and
// remember.
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

// tickProxied sends nacks for proxied probes that are late, and drops those
// that no answer can help any more.
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
