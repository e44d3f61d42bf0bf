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
	own bool
	// patience stretches the time while this node's own health is in doubt.
	patience time.Duration
	// checks counts the rounds of the last check, begun at checkedAt, and
	// witnessedChecks those at which the zone could be reached.
	checks          int
	witnessedChecks int
	checkedAt       time.Duration
}

// accuse raises a suspicion of this node's own, or confirms a running one.
// Nobody is accused in a zone that is held.
func (c *Core) accuse(target *peer) {
	if c.view.zone(target.Zone).held {
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
		target.suspicion.own = true
	}
}

func (c *Core) beginSuspicion(p *peer, accuser uint32) {
	p.suspicion = &suspicion{
		raisedAt: c.now,
		accusers: []uint32{accuser},
		patience: time.Duration(c.health + 1),
	}
	c.setDeadline(p.suspicion)
}

// setDeadline sets the end of a suspicion; the last check starts over.
func (c *Core) setDeadline(s *suspicion) {
	s.checks, s.witnessedChecks = 0, 0
	confirmations := len(s.accusers) - 1
	s.deadline = s.raisedAt + c.config.suspicionTime(c.members(), confirmations)*s.patience
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
	if c.now < c.quietUntil {
		return
	}
	var due []*peer
	for _, p := range c.view.suspects {
		if c.now >= p.suspicion.deadline && !c.view.zone(p.Zone).held {
			due = append(due, p)
		}
	}
	if len(due) > maximumChecks {
		c.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		due = due[:maximumChecks]
	}
	for _, p := range due {
		c.lastCheck(p)
	}
}

const (
	// checkRounds is how often a suspect is asked again before it is declared
	// gone, and checkInterval the time between.
	checkRounds = 3
	// witnessedRounds is how many of these must come after a sign that the
	// zone can be reached: those before may have been lost in a cut.
	witnessedRounds = 2
	checkInterval   = 500 * time.Millisecond
	// maximumChecks bounds the suspects that are asked again in one tick.
	maximumChecks = 16
)

// lastCheck asks a suspect a last time before it is declared gone: a view that
// missed the refutation gets it from the suspect itself or from another member,
// and a witness shows whether this node still reaches the zone at all.
func (c *Core) lastCheck(p *peer) {
	s := p.suspicion
	z := c.view.zone(p.Zone)
	if s.checks == 0 {
		s.checkedAt = c.now
	}
	witnessed := !c.mayHold(z) || c.witnessed(z, s.checkedAt)
	if witnessed {
		s.witnessedChecks++
	}
	conclusive := s.checks >= checkRounds && (!witnessed || s.witnessedChecks > witnessedRounds)
	if !conclusive && !c.config.disabled.lastCheck {
		s.checks++
		s.deadline = c.now + checkInterval
		c.ping(p, 0)
		c.query(p)
		return
	}
	if !witnessed {
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
func (c *Core) query(suspect *peer) {
	other := func(p *peer) bool { return p != suspect }
	packet := Packet{Kind: PacketQuery, Updates: []Update{c.describe(suspect)}}
	for _, candidates := range [][]*peer{c.view.zone(suspect.Zone).live, c.view.live} {
		if p := pick(c.random, candidates, other); p != nil {
			c.send(p.Address, packet)
		}
	}
}

// stepQuery answers with the member's record, if it is newer, and in any case
// shows that this node can be reached.
func (c *Core) stepQuery(from netip.AddrPort, packet Packet) {
	answer := Packet{Kind: PacketGossip}
	for _, asked := range packet.Updates[:min(1, len(packet.Updates))] {
		known := c.view.byName[asked.Name]
		if known != nil && known.version().newerThan(asked.version()) {
			answer.Updates = append(answer.Updates, c.describe(known))
		}
	}
	c.send(from, answer)
}

// reprobedAtOnce is how many suspects are pinged again in one period.
// Not measured: chosen because it bounds the load while many are suspected.
const reprobedAtOnce = 4

// reprobeSuspects pings the members that this node itself suspects once more
// in each period, so that they hear of it and can refute.
func (c *Core) reprobeSuspects() {
	if c.config.disabled.suspicionReprobe {
		return
	}
	own := func(p *peer) bool { return p.suspicion.own }
	for range min(reprobedAtOnce, len(c.view.suspects)) {
		if p := pick(c.random, c.view.suspects, own); p != nil {
			c.ping(p, 0)
		}
	}
}
