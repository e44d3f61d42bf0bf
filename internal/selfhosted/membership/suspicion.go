package membership

import (
	"net/netip"
	"slices"
	"time"
)

// suspicion is the time that a member has left to refute.
type suspicion struct {
	raisedAt time.Duration
	deadline time.Duration
	// accusers are the name hashes of the members that raised it, the first
	// one first.
	accusers []uint32
	// own is set if this node is one of them.
	raisedHere bool
	// patience stretches the time while this node's own health is in doubt.
	healthFactor time.Duration
	// checks counts the rounds of the last check, begun at checkedAt, and
	// witnessedChecks those at which the zone could be reached.
	checkCount          int
	reachableChecks int
	checkStartedAt       time.Duration
}

// accuse raises a suspicion of this node's own, or confirms a running one.
// Nobody is accused in a zone that is held.
func (c *Core) raiseSuspicion(target *peer) {
	if c.view.ensureZone(target.Zone).held {
		return
	}
	update := shortUpdate(target.Member)
	update.State = StateSuspect
	update.Accuser = nameHash(c.self.Name)
	if target.State != StateSuspect {
		c.statistics.SuspicionsRaised++
	}
	c.merge(update)
	if target.suspicion != nil {
		target.suspicion.raisedHere = true
	}
}

func (c *Core) beginSuspicion(p *peer, accuser uint32) {
	p.suspicion = &suspicion{
		raisedAt: c.now,
		accusers: []uint32{accuser},
		healthFactor: time.Duration(c.healthScore + 1),
	}
	c.setDeadline(p.suspicion)
}

// setDeadline sets the end of a suspicion; the last check starts over.
func (c *Core) setDeadline(s *suspicion) {
	s.checkCount, s.reachableChecks = 0, 0
	confirmations := len(s.accusers) - 1
	s.deadline = s.raisedAt + c.config.suspicionTime(c.memberCount(), confirmations)*s.healthFactor
}

// confirmSuspicion counts a further accuser and passes its suspicion on.
func (c *Core) confirmSuspicion(p *peer, update Update) {
	s := p.suspicion
	if len(s.accusers) > c.config.SuspicionConfirmations || slices.Contains(s.accusers, update.Accuser) {
		return
	}
	s.accusers = append(s.accusers, update.Accuser)
	c.setDeadline(s)
	short := shortUpdate(p.Member)
	short.Accuser = update.Accuser
	c.broadcasts.add(short)
}

// tickSuspicions takes up the suspicions whose time is over.
func (c *Core) tickSuspicions() {
	if c.now < c.noAccusationsUntil {
		return
	}
	var due []*peer
	for _, p := range c.view.suspects {
		if c.now >= p.suspicion.deadline && !c.view.ensureZone(p.Zone).held {
			due = append(due, p)
		}
	}
	if len(due) > maximumChecksPerTick {
		c.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		due = due[:maximumChecksPerTick]
	}
	for _, p := range due {
		c.finalCheck(p)
	}
}

const (
	// checkRounds is how often a suspect is asked again before it is declared
	// gone, and checkInterval the time between.
	checkRounds = 3
	// witnessedRounds is how many of these must come after a sign that the
	// zone can be reached: those before may have been lost in a cut.
	reachableRounds = 2
	checkInterval   = 500 * time.Millisecond
	// maximumChecks bounds the suspects that are asked again in one tick.
	maximumChecksPerTick = 16
)

// lastCheck asks a suspect a last time before it is declared gone: a view that
// missed the refutation gets it from the suspect itself or from another member,
// and a witness shows whether this node still reaches the zone at all.
func (c *Core) finalCheck(p *peer) {
	s := p.suspicion
	z := c.view.ensureZone(p.Zone)
	if s.checkCount == 0 {
		s.checkStartedAt = c.now
	}
	reachable := !c.canHold(z) || c.reachable(z, s.checkStartedAt)
	if reachable {
		s.reachableChecks++
	}
	conclusive := s.checkCount >= checkRounds && (!reachable || s.reachableChecks > reachableRounds)
	if !conclusive && !c.config.disabled.finalCheck {
		s.checkCount++
		s.deadline = c.now + checkInterval
		c.ping(p, 0)
		c.querySuspect(p)
		return
	}
	if !reachable {
		c.holdZone(z)
		return
	}
	update := shortUpdate(p.Member)
	update.State = StateGone
	c.statistics.DeclaredGone++
	c.merge(update)
}

// query asks a witness in the zone of the suspect, and any other member, for
// news of it.
func (c *Core) querySuspect(suspect *peer) {
	notSuspect := func(p *peer) bool { return p != suspect }
	packet := Packet{Kind: PacketQuery, Updates: []Update{c.fullRecord(suspect)}}
	for _, candidates := range [][]*peer{c.view.ensureZone(suspect.Zone).live, c.view.live} {
		if p := pickRandom(c.random, candidates, notSuspect); p != nil {
			c.send(p.Address, packet)
		}
	}
}

// stepQuery answers with the member's record, if it is newer, and in any case
// shows that this node can be reached.
func (c *Core) stepQuery(from netip.AddrPort, packet Packet) {
	answer := Packet{Kind: PacketGossip}
	for _, asked := range packet.Updates[:min(1, len(packet.Updates))] {
		existing := c.view.byName[asked.Name]
		if existing != nil && existing.version().newerThan(asked.version()) {
			answer.Updates = append(answer.Updates, c.fullRecord(existing))
		}
	}
	c.send(from, answer)
}

// reprobedAtOnce is how many suspects are pinged again in one period.
// Not measured: chosen because it bounds the load while many are suspected.
const maximumReprobes = 4

// reprobeSuspects pings the members that this node itself suspects once more
// in each period, so that they hear of it and can refute.
func (c *Core) reprobeSuspects() {
	if c.config.disabled.suspectReprobes {
		return
	}
	raisedHere := func(p *peer) bool { return p.suspicion.raisedHere }
	for range min(maximumReprobes, len(c.view.suspects)) {
		if p := pickRandom(c.random, c.view.suspects, raisedHere); p != nil {
			c.ping(p, 0)
		}
	}
}
