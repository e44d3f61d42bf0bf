package membership

import "net/netip"

// merge processes one update. If the update replaces the record of a member, merge stores it and
// queues it for broadcast.
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

// replaces reports whether an update replaces the record of a member.
func (c *Core) replaces(update Update, existing *peer) bool {
	if c.config.disabled.incarnations {
		return update.hasAddresses() || update.version().newerThan(existing.version())
	}
	return update.version().newerThan(existing.version())
}

// addMember adds an unknown member. It ignores a member that is gone, which no view needs, and an
// update without addresses, because the full record will follow.
func (c *Core) addMember(update Update) {
	if update.State == StateGone || !update.hasAddresses() {
		return
	}
	c.storeRecord(update, Member{})
}

// updateMember replaces the record of a member. An update without addresses keeps the addresses of
// the existing record; it is ignored if it belongs to another incarnation.
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

// storeRecord stores the record of an update, emits EventChanged and queues the update for
// broadcast. Records received in answer to a digest are not broadcast: the other members have them
// already or get them by their own digests, and a new node would otherwise broadcast the whole
// membership.
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

// trimAddresses removes the addresses from an update if the incarnation was known before, because
// receivers that know the incarnation have the addresses.
func (c *Core) trimAddresses(update Update, previous Member) Update {
	if previous.Incarnation == update.Incarnation && previous.Name != "" {
		short := shortUpdate(update.member())
		short.Accuser = update.Accuser
		return short
	}
	return update
}

// mergeSelf processes an update about this node that another member sent. It refutes a suspicion or
// a declaration as gone.
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

// mergeSuccessor handles an update about this node's name with a higher incarnation. If that
// process is gone and this node has not joined yet, this node was started with a clock that lags,
// and takes a still higher incarnation. Otherwise this node has been replaced.
func (c *Core) mergeSuccessor(update Update) {
	if update.State == StateGone && !c.joined {
		c.self.Incarnation = update.Incarnation + 1
		c.broadcasts.add(fullUpdate(c.self))
		return
	}
	if c.superseded || c.config.disabled.incarnations {
		return
	}
	// The final packets of this process announce its successor.
	c.broadcasts.add(update)
	c.sendFinalUpdate()
	c.superseded = true
	c.emit(Event{Kind: EventSuperseded, Member: update.member(), Previous: c.self})
}

// processSender merges the sender's own record. It asks an unknown sender for its full record, and
// sends the newer record to a sender that was suspected, declared gone or replaced, so that the
// sender can refute it.
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

// fullRecord returns an update with the addresses of a peer, and with the first accuser if the peer
// is suspected.
func (c *Core) fullRecord(p *peer) Update {
	update := fullUpdate(p.Member)
	if p.suspicion != nil {
		update.Accuser = p.suspicion.accusers[0]
	}
	return update
}

// send queues a packet for the driver and piggybacks waiting updates on it.
func (c *Core) send(to netip.AddrPort, packet Packet) {
	packet.From = shortUpdate(c.self)
	packet.Revision = c.revision
	available := c.config.PacketLimit - packet.maximumSize()
	packet.Updates = append(packet.Updates, c.broadcasts.take(available, c.config.retransmissions(c.memberCount()))...)
	c.ready.Packets = append(c.ready.Packets, Outgoing{To: to, Packet: packet})
}

// sendToPeer sends a packet to a peer. To a peer that is suspected or gone, it adds the record of
// that peer, so that the peer can refute it.
func (c *Core) sendToPeer(p *peer, packet Packet) {
	if p.State == StateSuspect || p.State == StateGone {
		packet.Updates = append(packet.Updates, c.fullRecord(p))
	}
	c.send(p.Address, packet)
}

// tickGossip sends gossip packets with waiting updates.
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

// gossipTarget picks a receiver of gossip. Every third receiver is a random member of the cluster.
// The others are in the zone of this node if it has other members.
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

// tickRetention forgets members that have been gone for Config.GoneRetention.
func (c *Core) tickRetention() {
	for len(c.view.gone) > 0 && c.now-c.view.gone[0].goneAt >= c.config.GoneRetention {
		c.view.forget(c.view.gone[0])
	}
}
