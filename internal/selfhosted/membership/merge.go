package membership

import "net/netip"

// merge processes one update and passes it on if it is newer than what is known.
func (c *Core) merge(update Update) {
	if update.Name == c.self.Name {
		c.mergeSelf(update)
		return
	}
	existing := c.view.byName[update.Name]
	switch {
	case existing == nil:
		c.addMember(update)
	case c.replaces(update, existing):
		c.updateMember(update, existing)
	case update.State == StateSuspect && existing.version() == update.version():
		c.confirmSuspicion(existing, update)
	}
}

func (c *Core) replaces(update Update, existing *peer) bool {
	if c.config.disabled.incarnations {
		return update.hasAddresses() || update.version().newerThan(existing.version())
	}
	return update.version().newerThan(existing.version())
}

// mergeUnknown adds a member. One that is gone already, or that comes without
// addresses, is left out: the first does no harm, the second will follow.
func (c *Core) addMember(update Update) {
	if update.State == StateGone || !update.hasAddresses() {
		return
	}
	c.storeRecord(update, Member{})
}

// mergeNewer replaces the record of a known member.
func (c *Core) updateMember(update Update, existing *peer) {
	if !update.hasAddresses() {
		if update.Incarnation != existing.Incarnation {
			return
		}
		record := existing.Member
		record.Refutation, record.State = update.Refutation, update.State
		accuser := update.Accuser
		update = fullUpdate(record)
		update.Accuser = accuser
	}
	c.storeRecord(update, existing.Member)
}

// adopt stores a record, notifies the node and passes the update on. What came in
// answer to a digest is not passed on: the others have it, or get it by their
// own digests, and a new node gets all members in this way.
func (c *Core) storeRecord(update Update, previous Member) {
	record := update.member()
	if previous.State == StateSuspect && record.State != StateSuspect {
		if record.State != StateGone {
			c.statistics.SuspicionsRefuted++
		}
	}
	p := c.view.put(c.now, record)
	p.suspicion = nil
	if record.State == StateSuspect {
		c.beginSuspicion(p, update.Accuser)
	}
	isNew := previous.Name == "" || previous.State == StateGone
	if isNew && !p.gone() {
		c.probes.insertMember(c.random, p)
	}
	if !c.sync.mergingRecords {
		c.broadcasts.add(c.trimAddresses(update, previous))
	}
	c.emit(Event{Kind: EventChanged, Member: record, Previous: previous})
}

// forwarded drops the addresses from an update that receivers can do without:
// those that know the incarnation need them no more.
func (c *Core) trimAddresses(update Update, previous Member) Update {
	if previous.Incarnation == update.Incarnation && previous.Name != "" {
		short := shortUpdate(update.member())
		short.Accuser = update.Accuser
		return short
	}
	return update
}

// mergeSelf processes what others say of this node.
func (c *Core) mergeSelf(update Update) {
	if update.Incarnation > c.self.Incarnation {
		c.mergeSuccessor(update)
		return
	}
	stale := update.Incarnation < c.self.Incarnation || update.Refutation < c.self.Refutation
	if stale || update.State == c.self.State || c.config.disabled.refutation {
		return
	}
	if update.State != StateSuspect && update.State != StateGone {
		return
	}
	c.self.Refutation = update.Refutation
	c.announceState(c.self.State)
	c.statistics.SelfRefutations++
	c.raiseHealthScore()
}

// mergeSuccessor handles a higher incarnation of this node's own name. If that
// process is gone, and this one has only just started with a clock that lags,
// it takes a still higher incarnation; else it has been replaced.
func (c *Core) mergeSuccessor(update Update) {
	if update.State == StateGone && !c.joined {
		c.self.Incarnation = update.Incarnation + 1
		c.broadcasts.add(fullUpdate(c.self))
		return
	}
	if c.superseded || c.config.disabled.incarnations {
		return
	}
	// The last update of this process makes its successor known.
	c.broadcasts.add(update)
	c.sendFinalUpdate()
	c.superseded = true
	c.emit(Event{Kind: EventSuperseded, Member: update.member(), Previous: c.self})
}

// observeSender processes the sender's own record. A sender that is unknown is
// asked for its addresses; one that others have judged, or replaced, is notified.
func (c *Core) processSender(from netip.AddrPort, packet Packet) {
	sender := packet.From
	if sender.Name == "" || sender.Name == c.self.Name {
		c.mergeSelf(sender)
		return
	}
	existing := c.view.byName[sender.Name]
	if existing == nil || sender.Incarnation > existing.Incarnation {
		c.send(from, Packet{Kind: PacketIdentify})
		return
	}
	c.merge(sender)
	if existing.version().newerThan(sender.version()) {
		c.send(from, Packet{Kind: PacketGossip, Updates: []Update{c.fullRecord(existing)}})
	}
	c.recordContact(existing)
}

// describe returns the full record of a peer, with an accuser if suspected.
func (c *Core) fullRecord(p *peer) Update {
	update := fullUpdate(p.Member)
	if p.suspicion != nil {
		update.Accuser = p.suspicion.accusers[0]
	}
	return update
}

// send queues a packet and fills it up with waiting updates.
func (c *Core) send(to netip.AddrPort, packet Packet) {
	packet.From = shortUpdate(c.self)
	packet.Revision = c.revision
	available := c.config.PacketLimit - packet.maximumSize()
	packet.Updates = append(packet.Updates, c.broadcasts.take(available, c.config.retransmissions(c.memberCount()))...)
	c.ready.Packets = append(c.ready.Packets, Outgoing{To: to, Packet: packet})
}

// sendTo sends to a peer. One that is suspected or gone is notified, so that it
// can refute.
func (c *Core) sendToPeer(p *peer, packet Packet) {
	if p.State == StateSuspect || p.State == StateGone {
		packet.Updates = append(packet.Updates, c.fullRecord(p))
	}
	c.send(p.Address, packet)
}

// tickGossip sends waiting updates on packets of their own.
func (c *Core) tickGossip() {
	if c.now < c.nextGossip {
		return
	}
	c.nextGossip = c.now + c.config.GossipInterval
	for i := range c.config.GossipFanout {
		if c.broadcasts.empty() {
			return
		}
		if p := c.gossipTarget(i); p != nil {
			c.sendToPeer(p, Packet{Kind: PacketGossip})
		}
	}
}

// gossipTarget picks a member to send updates to: every third one anywhere,
// the others in this node's own zone.
func (c *Core) gossipTarget(index int) *peer {
	const zoneIndependentEvery = 3
	acceptAll := func(*peer) bool { return true }
	if index%zoneIndependentEvery != zoneIndependentEvery-1 {
		if p := pickRandom(c.random, c.view.ensureZone(c.self.Zone).live, acceptAll); p != nil {
			return p
		}
	}
	return pickRandom(c.random, c.view.live, acceptAll)
}

// tickGone forgets members that have been gone for long.
func (c *Core) tickRetention() {
	for len(c.view.gone) > 0 && c.now-c.view.gone[0].goneAt >= c.config.GoneRetention {
		c.view.forget(c.view.gone[0])
	}
}
