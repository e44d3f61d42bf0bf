package membership

import (
	"net/netip"
	"slices"
	"time"
)

// suspicion is the state of a suspicion that the member has not refuted yet.
type suspicion struct {
	raisedAt time.Duration
	deadline time.Duration
	// accusers holds the name hashes of the members that raised the suspicion, in order of arrival.
	accusers []uint32
	// raisedHere is set if this node raised or confirmed the suspicion itself.
	raisedHere bool
	// healthFactor is the local health score plus one at the start of the suspicion. It multiplies
	// the time from suspicion to gone.
	healthFactor time.Duration
	// checkCount is the number of rounds of the final check so far, which started at
	// checkStartedAt. reachableChecks is the number of rounds in which the zone was reachable.
	checkCount      int
	reachableChecks int
	checkStartedAt  time.Duration
}

// raiseSuspicion suspects a member, or confirms a suspicion of it. It does nothing in a zone that
// is held.
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
		raisedAt:     c.now,
		accusers:     []uint32{accuser},
		healthFactor: time.Duration(c.healthScore + 1),
	}
	c.setDeadline(p.suspicion)
}

// setDeadline sets the deadline of a suspicion and restarts its final check.
func (c *Core) setDeadline(s *suspicion) {
	s.checkCount, s.reachableChecks = 0, 0
	confirmations := len(s.accusers) - 1
	s.deadline = s.raisedAt + c.config.suspicionTime(c.memberCount(), confirmations)*s.healthFactor
}

// confirmSuspicion records a further accuser, which shortens the deadline, and queues its update
// for broadcast.
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

// tickSuspicions runs the final check of suspicions whose deadline has passed.
func (c *Core) tickSuspicions() {
	if c.now < c.pauseGraceUntil {
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
	// checkRounds is the number of times that a suspect is pinged again before it is declared gone.
	checkRounds = 3
	// reachableRounds is the number of rounds that must follow a packet from the zone, because
	// earlier pings may have been lost in a network partition.
	reachableRounds = 2
	// checkInterval is the time between two rounds.
	checkInterval = 500 * time.Millisecond
	// maximumChecksPerTick bounds the suspects that are checked in one tick.
	maximumChecksPerTick = 16
)

// finalCheck pings a suspect again before declaring it gone. A view that missed the refutation gets
// it from the suspect or from another member. A packet from another member of the zone shows that
// this node reaches the zone at all; without one, the zone is held.
func (c *Core) finalCheck(p *peer) {
	s := p.suspicion
	z := c.view.ensureZone(p.Zone)
	if s.checkCount == 0 {
		s.checkStartedAt = c.now
	}
	reachable := !c.canHold(z) || c.zoneReachableSince(z, s.checkStartedAt)
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

// querySuspect asks a member in the zone of the suspect, and a random member of the cluster, for a
// newer record of the suspect.
func (c *Core) querySuspect(suspect *peer) {
	notSuspect := func(p *peer) bool { return p != suspect }
	packet := Packet{Kind: PacketQuery, Updates: []Update{c.fullRecord(suspect)}}
	for _, candidates := range [][]*peer{c.view.ensureZone(suspect.Zone).live, c.view.live} {
		if p := pickRandom(c.random, candidates, notSuspect); p != nil {
			c.send(p.Address, packet)
		}
	}
}

// stepQuery answers with the record of the queried member if it is newer. It always answers,
// because the packet shows that this node is reachable.
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

// maximumReprobes bounds the suspects that are pinged again in one probe period, which limits the
// load while many members are suspected.
const maximumReprobes = 4

// reprobeSuspects pings members that this node suspects once more in each probe period, so that
// they learn of the suspicion and can refute it.
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
