package dissemination

import "slices"

// slot is what is known of one voter.
type voterState struct {
	// latest is the last answer of the highest incarnation known.
	latest voterAnswer
	// confirmedAt is the sending time of the last request that was answered
	// with no more than this node holds, by confirmedBy.
	confirmed   bool
	confirmedAt Time
	confirmedBy uint64
}

// answer is a voter's answer to an exchange.
type voterAnswer struct {
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
const maxRelayed = 8

// majority returns how many of n voters are a majority.
func majority(n int) int { return n/2 + 1 }

func (c *Core) needed() int {
	if c.disabled.majority {
		return 1
	}
	return majority(len(c.log.catalog.Voters))
}

// resetSlots makes the slots follow the catalog's voters.
func (c *Core) resetVoterStates() {
	voters := c.log.catalog.Voters
	for name := range c.voterStates {
		if _, ok := voters[name]; !ok {
			delete(c.voterStates, name)
		}
	}
	for name := range voters {
		if c.voterStates[name] == nil && name != c.self.Name {
			c.voterStates[name] = &voterState{}
		}
	}
	for _, s := range c.voterStates {
		s.confirmFromLatest(c.log.revision())
	}
	c.resetTakeover()
}

// countLatest counts the latest answer if this node holds what it names.
func (s *voterState) confirmFromLatest(revision uint64) {
	if !s.latest.valid || !s.latest.voter || s.latest.revision > revision {
		return
	}
	s.confirmed, s.confirmedAt, s.confirmedBy = true, s.latest.sentAt, s.latest.incarnation
}

// takeAnswer notes a voter's answer.
func (c *Core) recordAnswer(name string, received voterAnswer) {
	state := c.voterStates[name]
	if state == nil || !c.isCurrentIncarnation(name, received.incarnation) {
		return
	}
	if state.latest.valid && state.latest.incarnation == received.incarnation && state.latest.sentAt > received.sentAt {
		return
	}
	state.latest = received
	state.confirmFromLatest(c.log.revision())
}

// current says whether an incarnation of a slot is the highest known.
func (c *Core) isCurrentIncarnation(name string, incarnation uint64) bool {
	return c.disabled.supersession || incarnation == c.claims[name]
}

// reconfirm works out the confirmation that the voters' answers prove: the
// latest time at or after which a majority was asked. The voter itself counts
// as asked now. A single voter proves nothing: nobody else could know that a
// replacement has taken its slot over. Then the store alone confirms.
func (c *Core) reconfirm(now Time) {
	c.updateRecovery(now)
	voters := len(c.log.catalog.Voters)
	if voters < 2 {
		return
	}
	times := make([]Time, 0, voters)
	if c.canVote() {
		times = append(times, now)
	}
	for name, s := range c.voterStates {
		if s.confirmed && c.isCurrentIncarnation(name, s.confirmedBy) {
			times = append(times, s.confirmedAt)
		}
	}
	if needed := c.needed(); len(times) >= needed {
		slices.Sort(times)
		c.advanceConfirmation(times[len(times)-needed])
	}
	c.updateRecovery(now)
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
	if c.successor.superseded || len(c.voters) == 0 {
		return 0, false
	}
	times := make([]Time, 0, len(c.voters))
	if c.canVote() && c.log.revision() >= revision {
		times = append(times, now)
	}
	voter := c.isVoter()
	for name, s := range c.voterStates {
		if c.holdsCountably(name, s, revision) && (s.latest.registered || !voter) {
			times = append(times, s.latest.sentAt)
		}
	}
	needed := c.needed()
	if len(times) < needed {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-needed], true
}

// advance raises the confirmation; it never falls, because what is proved
// once stays true.
func (c *Core) advanceConfirmation(at Time) {
	if !c.confirmed || at > c.confirmedAt {
		c.confirmed, c.confirmedAt = true, at
	}
}

// takeRelayed counts a peer's confirmation, now or once its revision is held.
func (c *Core) addRelayed(confirmation relayedConfirmation) {
	if confirmation.revision <= c.log.revision() {
		c.advanceConfirmation(confirmation.at)
		return
	}
	if len(c.relayed) == maxRelayed {
		c.relayed = c.relayed[1:]
	}
	c.relayed = append(c.relayed, confirmation)
}

func (c *Core) applyRelayed() {
	pending := c.relayed
	c.relayed = nil
	for _, confirmation := range pending {
		c.addRelayed(confirmation)
	}
}
