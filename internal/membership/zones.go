package membership

// minimumSuspectsToHold keeps a zone with a single lost member from being
// held.
const minimumSuspectsToHold = 2

// tickZones begins and ends the holds of zones, once a period.
func (c *Core) tickZones() {
	if c.now < c.nextZones || c.config.disabled.zoneHold {
		return
	}
	c.nextZones = c.now + c.config.ProbeInterval/2
	for _, z := range c.view.zones {
		unreachable := z.suspects >= minimumSuspectsToHold && 2*z.suspects > c.sizeOf(z)
		switch {
		case unreachable && !z.held && !z.spent:
			z.held, z.heldSince = true, c.now
			c.event(Event{Kind: EventZoneHeld, Zone: z.name})
		case !unreachable:
			z.spent = false
			c.releaseZone(z)
		case z.held && c.now-z.heldSince >= c.config.ZoneHold:
			z.spent = true
			c.releaseZone(z)
		}
	}
}

// sizeOf is the number of members of a zone, this node included.
func (c *Core) sizeOf(z *zone) int {
	if z.name == c.self.Zone {
		return len(z.live) + 1
	}
	return len(z.live)
}

// releaseZone ends a hold. Suspicions that still run get their whole time
// again, so that the members can refute.
func (c *Core) releaseZone(z *zone) {
	if !z.held {
		return
	}
	z.held = false
	for _, p := range z.live {
		if p.suspicion != nil {
			p.suspicion.raisedAt = c.now
			c.setDeadline(p.suspicion)
		}
	}
	c.event(Event{Kind: EventZoneReleased, Zone: z.name})
}
