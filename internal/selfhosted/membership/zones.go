package membership

import "time"

// minimumSuspectsToHold keeps a zone with a single lost member from being
// held before its last check.
const minimumSuspectsToHold = 2

// silentPeriods is how many probe periods without a packet from a zone make it
// silent.
const silentPeriods = 2

// tickZones begins and ends the holds of zones, twice a period.
func (c *Core) tickZones() {
	if c.now < c.nextZones {
		return
	}
	c.nextZones = c.now + c.config.ProbeInterval/2
	for _, z := range c.view.zones {
		switch {
		case z.held && c.witnessed(z, z.heldSince):
			c.releaseZone(z)
		case z.held && c.now-z.heldSince >= c.config.ZoneHold:
			z.spent = true
			c.releaseZone(z)
		case z.spent && c.witnessed(z, z.heldSince):
			z.spent = false
		case c.mayHold(z) && c.mostlySuspect(z) && c.now-z.heardAt > silentPeriods*c.config.ProbeInterval:
			c.holdZone(z)
		}
	}
}

func (c *Core) mayHold(z *zone) bool {
	return !z.held && !z.spent && !c.config.disabled.zoneHold
}

// mostlySuspect reports whether more than half of the members of the zone,
// this node included, are suspected.
func (c *Core) mostlySuspect(z *zone) bool {
	size := len(z.live)
	if z.name == c.self.Zone {
		size++
	}
	return z.suspects >= minimumSuspectsToHold && 2*z.suspects > size
}

// hear records that a member was heard from directly.
func (c *Core) hear(p *peer) {
	c.joined = true
	c.heardAt = c.now
	c.view.zone(p.Zone).heardAt = c.now
}

// witnessed reports whether this node has heard since then from the zone, or,
// if the zone has a single member, from anybody. If there is nobody else whom
// it could hear from, it counts as a witness itself.
func (c *Core) witnessed(z *zone, since time.Duration) bool {
	switch {
	case len(z.live) > 1:
		return z.heardAt > since
	case len(c.view.live) > 1:
		return c.heardAt > since
	default:
		return true
	}
}

func (c *Core) holdZone(z *zone) {
	z.held, z.heldSince = true, c.now
	c.event(Event{Kind: EventZoneHeld, Zone: z.name})
}

// releasePings is how many suspected members of a zone are pinged when its hold
// ends. Not measured: chosen because their refutations reach the rest by gossip.
const releasePings = 4

// releaseZone ends a hold. Suspicions that still run get their whole time
// again, and a few of the members are notified, so that they can refute.
func (c *Core) releaseZone(z *zone) {
	z.held = false
	suspected := func(p *peer) bool { return p.suspicion != nil }
	for range min(releasePings, z.suspects) {
		if p := pick(c.random, z.live, suspected); p != nil {
			c.ping(p, 0)
		}
	}
	for _, p := range z.live {
		if p.suspicion != nil {
			p.suspicion.raisedAt = c.now
			c.setDeadline(p.suspicion)
		}
	}
	c.event(Event{Kind: EventZoneReleased, Zone: z.name})
}
