package membership

import "time"

// minimumSuspectsToHold prevents a zone with a single failed member from being held before the
// final check of that member.
const minimumSuspectsToHold = 2

// zoneSilencePeriods is the number of probe periods without a packet from a zone after which the
// zone counts as silent.
const zoneSilencePeriods = 2

// tickZones starts and ends zone holds, twice per probe period.
func (c *Core) tickZones() {
	if c.now < c.nextZoneCheck {
		return
	}
	c.nextZoneCheck = c.now + c.config.ProbeInterval/2
	for _, z := range c.view.zones {
		switch {
		case z.held && c.zoneReachableSince(z, z.heldSince):
			c.releaseZone(z)
		case z.held && c.now-z.heldSince >= c.config.ZoneHold:
			z.holdExpired = true
			c.releaseZone(z)
		case z.holdExpired && c.zoneReachableSince(z, z.heldSince):
			z.holdExpired = false
		case c.canHold(z) && c.isMostlySuspect(z) && c.now-z.lastPacketAt > zoneSilencePeriods*c.config.ProbeInterval:
			c.holdZone(z)
		}
	}
}

// canHold reports whether a hold of the zone may start.
func (c *Core) canHold(z *zone) bool {
	return !z.held && !z.holdExpired && !c.config.disabled.zoneHold
}

// isMostlySuspect reports whether at least minimumSuspectsToHold members and more than half of the
// zone, including this node if it belongs to the zone, are suspected.
func (c *Core) isMostlySuspect(z *zone) bool {
	size := len(z.live)
	if z.name == c.self.Zone {
		size++
	}
	return z.suspects >= minimumSuspectsToHold && 2*z.suspects > size
}

// recordContact records that a packet from a member arrived.
func (c *Core) recordContact(p *peer) {
	c.joined = true
	c.lastPacketAt = c.now
	c.view.ensureZone(p.Zone).lastPacketAt = c.now
}

// zoneReachableSince reports whether a packet from the zone arrived after the time since. For a
// zone with a single member, a packet from any member counts. If this node has at most one other
// member, no other packet can be expected and the zone counts as reachable.
func (c *Core) zoneReachableSince(z *zone, since time.Duration) bool {
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

// holdReleasePings is the number of suspected members of a zone that are pinged when its hold ends.
// Gossip spreads their refutations.
const holdReleasePings = 4

// releaseZone ends a hold. Suspicions in the zone start over with their full time, and some of the
// suspected members are pinged, so that they can refute.
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
