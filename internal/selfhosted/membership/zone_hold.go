package membership

import "time"

// minimumSuspectsToHold keeps a zone with a single lost member from being
// held before its last check.
const minimumSuspectsToHold = 2

// silentPeriods is how many probe periods without a packet from a zone make it
// silent.
const zoneSilencePeriods = 2

// tickZones begins and ends the holds of zones, twice a period.
func (c *Core) tickZones() {
	if c.now < c.nextZoneCheck {
		return
	}
	c.nextZoneCheck = c.now + c.config.ProbeInterval/2
	for _, z := range c.view.zones {
		switch {
		case z.held && c.reachable(z, z.heldSince):
			c.releaseZone(z)
		case z.held && c.now-z.heldSince >= c.config.ZoneHold:
			z.holdExpired = true
			c.releaseZone(z)
		case z.holdExpired && c.reachable(z, z.heldSince):
			z.holdExpired = false
		case c.canHold(z) && c.isMostlySuspect(z) && c.now-z.lastPacketAt > zoneSilencePeriods*c.config.ProbeInterval:
			c.holdZone(z)
		}
	}
}

func (c *Core) canHold(z *zone) bool {
	return !z.held && !z.holdExpired && !c.config.disabled.zoneHold
}

// mostlySuspect reports whether more than half of the members of the zone,
// this node included, are suspected.
func (c *Core) isMostlySuspect(z *zone) bool {
	size := len(z.live)
	if z.name == c.self.Zone {
		size++
	}
	return z.suspects >= minimumSuspectsToHold && 2*z.suspects > size
}

// hear records that a member was heard from directly.
func (c *Core) recordContact(p *peer) {
	c.joined = true
	c.lastPacketAt = c.now
	c.view.ensureZone(p.Zone).lastPacketAt = c.now
}

// witnessed reports whether this node has heard since then from the zone, or,
// if the zone has a single member, from anybody. If there is nobody else whom
// it could hear from, it counts as a witness itself.
func (c *Core) reachable(z *zone, since time.Duration) bool {
	switch {
	case len(z.live) > 1:
		return z.lastPacketAt > since
	case len(c.view.live) > 1:
		return c.lastPacketAt > since
	default:
		return true
	}
}

func (c *Core) holdZone(z *zone) {
	z.held, z.heldSince = true, c.now
	c.emit(Event{Kind: EventZoneHeld, Zone: z.name})
}

// releasePings is how many suspected members of a zone are pinged when its hold
// ends. Not measured: chosen because their refutations reach the rest by gossip.
const holdReleasePings = 4

// releaseZone ends a hold. Suspicions that still run get their whole time
// again, and a few of the members are notified, so that they can refute.
func (c *Core) releaseZone(z *zone) {
	z.held = false
	isSuspected := func(p *peer) bool { return p.suspicion != nil }
	for range min(holdReleasePings, z.suspects) {
		if p := pickRandom(c.random, z.live, isSuspected); p != nil {
			c.ping(p, 0)
		}
	}
	for _, p := range z.live {
		if p.suspicion != nil {
			p.suspicion.raisedAt = c.now
			c.setDeadline(p.suspicion)
		}
	}
	c.emit(Event{Kind: EventZoneReleased, Zone: z.name})
}
