package dissemination

import "slices"

// voterState holds the responses of one voter.
type voterState struct {
	// latest is the last response of the highest known incarnation.
	latest voterResponse
	// confirmedAt is the sending time of the last request that incarnation confirmedBy answered
	// with a revision no higher than this node's.
	confirmed   bool
	confirmedAt Time
	confirmedBy uint64
}

// voterResponse is a voter's response to an exchange request.
type voterResponse struct {
	valid       bool
	sentAt      Time // sending time of the request
	incarnation uint64
	revision    uint64
	voter       bool
	// registered reports that the request claimed this node's voter slot with its current
	// incarnation, so that the voter has registered it.
	registered bool
}

// relayedConfirmation is a peer's confirmation, which counts once this node holds its revision.
type relayedConfirmation struct {
	revision uint64
	at       Time
}

// maxRelayed is the maximum number of relayed confirmations that wait for their revision.
const maxRelayed = 8

// majority returns the smallest number of voters that is a majority of n.
func majority(n int) int { return n/2 + 1 }

// quorum returns the number of voters that is required to confirm or accept a revision.
func (c *Core) quorum() int {
	if c.disabled.majority {
		return 1
	}
	return majority(len(c.log.catalog.Voters))
}

// resetVoterStates adapts voterStates to the catalog's voters.
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
	for _, state := range c.voterStates {
		state.confirmFromLatest(c.log.revision())
	}
	c.resetTakeover()
}

// confirmFromLatest raises the voter's confirmation to the latest response if this node holds the
// revision in that response.
func (s *voterState) confirmFromLatest(revision uint64) {
	if !s.latest.valid || !s.latest.voter || s.latest.revision > revision {
		return
	}
	s.confirmed, s.confirmedAt, s.confirmedBy = true, s.latest.sentAt, s.latest.incarnation
}

// storeVoterResponse stores a voter's response unless it is outdated.
func (c *Core) storeVoterResponse(name string, received voterResponse) {
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

// isCurrentIncarnation reports whether an incarnation of a voter is the highest known one.
func (c *Core) isCurrentIncarnation(name string, incarnation uint64) bool {
	return c.disabled.supersession || incarnation == c.claims[name]
}

// reconfirm computes the confirmation that the voters' responses prove: the latest time at or after
// which requests to a majority were sent. If this node can vote, it counts as asked now. A single
// voter proves nothing, because no other voter could know that a replacement has taken over its
// slot; in this case only the store confirms.
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
	for name, state := range c.voterStates {
		if state.confirmed && c.isCurrentIncarnation(name, state.confirmedBy) {
			times = append(times, state.confirmedAt)
		}
	}
	if needed := c.quorum(); len(times) >= needed {
		slices.Sort(times)
		c.advanceConfirmation(times[len(times)-needed])
	}
	c.updateRecovery(now)
}

// MajorityHeldAt returns the latest time c such that a majority of the voters have answered
// requests sent at c or later with at least the given revision. It returns false if no such time
// exists. This node counts as asked now if it can vote.
//
// If this node is a voter, only responses that register its incarnation count. After a majority has
// registered a successor in the voter slot, at least one response names the successor, and the
// result of MajorityHeldAt no longer advances. With revision 0, MajorityHeldAt therefore returns
// the last time at which the slot provably belonged to this process.
func (c *Core) MajorityHeldAt(now Time, revision uint64) (Time, bool) {
	if c.takeover.superseded || len(c.voters) == 0 {
		return 0, false
	}
	times := make([]Time, 0, len(c.voters))
	if c.canVote() && c.log.revision() >= revision {
		times = append(times, now)
	}
	voter := c.isVoter()
	for name, state := range c.voterStates {
		if c.holdsCountably(name, state, revision) && (state.latest.registered || !voter) {
			times = append(times, state.latest.sentAt)
		}
	}
	needed := c.quorum()
	if len(times) < needed {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-needed], true
}

// advanceConfirmation raises the confirmation. The confirmation never decreases, because evidence
// remains valid.
func (c *Core) advanceConfirmation(at Time) {
	if !c.confirmed || at > c.confirmedAt {
		c.confirmed, c.confirmedAt = true, at
	}
}

// addRelayed applies a peer's confirmation immediately or, if its revision is not held yet, queues
// it.
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

// applyRelayed applies the queued confirmations whose revision is now held.
func (c *Core) applyRelayed() {
	pending := c.relayed
	c.relayed = nil
	for _, confirmation := range pending {
		c.addRelayed(confirmation)
	}
}
