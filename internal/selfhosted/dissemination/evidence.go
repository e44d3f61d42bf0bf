package dissemination

import "slices"

// slot is what is known of one voter.
type slot struct {
	// latest is the last answer of the highest incarnation known.
	latest answer
	// confirmedAt is the sending time of the last request that was answered
	// with no more than this node holds, by confirmedBy.
	confirmed   bool
	confirmedAt Time
	confirmedBy uint64
}

// answer is a voter's answer to an exchange.
type answer struct {
	valid       bool
	sentAt      Time // of the request
	incarnation uint64
	revision    uint64
	voter       bool
	// registered says that the request claimed this node's slot with its
	// incarnation, so that the voter knows it.
	registered bool
}

// relayedConfirmation is a peer's confirmation that counts once this node holds
// the revision.
type relayedConfirmation struct {
	revision uint64
	at       Time
}

// maximumRelayed bounds the confirmations that wait for a revision.
const maximumRelayed = 8

// majority returns how many of n voters are a majority.
func majority(n int) int { return n/2 + 1 }

func (c *Core) quorum() int {
	if c.omit.majority {
		return 1
	}
	return majority(len(c.log.catalog.Voters))
}

// resetSlots makes the slots follow the catalog's voters.
func (c *Core) resetSlots() {
	voters := c.log.catalog.Voters
	for name := range c.slots {
		if _, ok := voters[name]; !ok {
			delete(c.slots, name)
		}
	}
	for name := range voters {
		if c.slots[name] == nil && name != c.self.Name {
			c.slots[name] = &slot{}
		}
	}
	for _, s := range c.slots {
		s.countLatest(c.log.revision())
	}
	c.resetTakeover()
}

// countLatest counts the latest answer if this node holds what it names.
func (s *slot) countLatest(revision uint64) {
	if !s.latest.valid || !s.latest.voter || s.latest.revision > revision {
		return
	}
	s.confirmed, s.confirmedAt, s.confirmedBy = true, s.latest.sentAt, s.latest.incarnation
}

// takeAnswer notes a voter's answer.
func (c *Core) takeAnswer(name string, got answer) {
	s := c.slots[name]
	if s == nil || !c.current(name, got.incarnation) {
		return
	}
	if s.latest.valid && s.latest.incarnation == got.incarnation && s.latest.sentAt > got.sentAt {
		return
	}
	s.latest = got
	s.countLatest(c.log.revision())
}

// current says whether an incarnation of a slot is the highest known.
func (c *Core) current(name string, incarnation uint64) bool {
	return c.omit.supersession || incarnation == c.claims[name]
}

// reconfirm works out the confirmation that the voters' answers prove: the
// latest time at or after which a majority was asked. The voter itself counts
// as asked now. A single voter proves nothing: nobody else could know that a
// replacement has taken its slot over. Then the store alone confirms.
func (c *Core) reconfirm(now Time) {
	c.recover(now)
	voters := len(c.log.catalog.Voters)
	if voters < 2 {
		return
	}
	times := make([]Time, 0, voters)
	if c.votes() {
		times = append(times, now)
	}
	for name, s := range c.slots {
		if s.confirmed && c.current(name, s.confirmedBy) {
			times = append(times, s.confirmedAt)
		}
	}
	if need := c.quorum(); len(times) >= need {
		slices.Sort(times)
		c.advance(times[len(times)-need])
	}
	c.recover(now)
}

// HeldAt returns the latest time c such that a majority of the voters have
// answered requests that were sent at c or later with at least a revision; false
// if there is none. This node counts as asked now if it votes.
//
// If this node holds a voter's slot, only answers count that register its
// incarnation. As soon as a successor in the slot has been registered by a
// majority, some answer names it and HeldAt rises no more. So HeldAt with
// revision 0 dates the last moment at which the slot was certainly this
// process's own.
func (c *Core) HeldAt(now Time, revision uint64) (Time, bool) {
	if c.takeover.superseded || len(c.voters) == 0 {
		return 0, false
	}
	times := make([]Time, 0, len(c.voters))
	if c.votes() && c.log.revision() >= revision {
		times = append(times, now)
	}
	holder := c.holdsSlot()
	for name, s := range c.slots {
		if c.counts(name, s, revision) && (s.latest.registered || !holder) {
			times = append(times, s.latest.sentAt)
		}
	}
	need := c.quorum()
	if len(times) < need {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-need], true
}

// advance raises the confirmation; it never falls, because what is proved
// once stays true.
func (c *Core) advance(at Time) {
	if !c.confirmed || at > c.confirmedAt {
		c.confirmed, c.confirmedAt = true, at
	}
}

// takeRelayed counts a peer's confirmation, now or once its revision is held.
func (c *Core) takeRelayed(confirmation relayedConfirmation) {
	if confirmation.revision <= c.log.revision() {
		c.advance(confirmation.at)
		return
	}
	if len(c.relayed) == maximumRelayed {
		c.relayed = c.relayed[1:]
	}
	c.relayed = append(c.relayed, confirmation)
}

func (c *Core) applyRelayed() {
	waiting := c.relayed
	c.relayed = nil
	for _, confirmation := range waiting {
		c.takeRelayed(confirmation)
	}
}
