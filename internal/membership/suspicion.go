package membership

import (
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

func (c *Core) setDeadline(s *suspicion) {
	confirmations := len(s.accusers) - 1
	s.deadline = s.raisedAt + c.config.suspicionTime(c.members(), confirmations)*s.patience
}

// confirmSuspicion counts a further accuser and passes its word on.
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

// tickSuspicions declares members gone whose time is over.
func (c *Core) tickSuspicions() {
	if c.now < c.quietUntil {
		return
	}
	var expired []*peer
	for _, p := range c.view.suspects {
		if c.now >= p.suspicion.deadline && !c.view.zone(p.Zone).held {
			expired = append(expired, p)
		}
	}
	for _, p := range expired {
		update := shortUpdate(p.Member)
		update.State = StateGone
		c.statistics.DeclaredGone++
		c.merge(update)
	}
}

// reprobeSuspects pings the members that this node itself suspects once more
// in each period, so that they hear of it and can refute.
func (c *Core) reprobeSuspects() {
	if c.config.disabled.suspicionReprobe {
		return
	}
	const atOnce = 4
	own := func(p *peer) bool { return p.suspicion.own }
	for range min(atOnce, len(c.view.suspects)) {
		if p := pick(c.random, c.view.suspects, own); p != nil {
			c.ping(p, 0)
		}
	}
}
