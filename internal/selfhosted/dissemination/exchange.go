package dissemination

import (
	"maps"
	"net/netip"
	"slices"
)

// pendingRequest is an exchange request without a response.
type pendingRequest struct {
	sentAt Time
	// claimedIncarnation is the incarnation with which the request claimed a voter slot, or 0.
	claimedIncarnation uint64
}

// randomExchangeRounds is the number of rounds between exchanges with a random member, which reach
// members that the relay trees miss. The value 4 adds a quarter of an exchange to each round.
const randomExchangeRounds = 4

// exchange sends the requests of the current round.
func (c *Core) exchange(now Time) {
	jitter := Time(c.random.Int64N(int64(c.config.ExchangeInterval)/5 + 1))
	c.nextExchange = now + c.config.ExchangeInterval - c.config.ExchangeInterval/10 + jitter
	c.exchangeRounds++
	targets := map[netip.AddrPort]bool{}
	if c.exchangesWithVoters() {
		for _, name := range c.voters {
			c.addTarget(targets, name)
		}
	}
	for _, parent := range c.members.parents(c.config.WatchersPerZone, c.config.RelayFanout) {
		targets[parent.Address] = true
	}
	c.addFallbackTargets(now, targets)
	delete(targets, c.self.Address)
	for _, to := range sortAddresses(targets) {
		c.sendRequest(now, to)
	}
}

// exchangesWithVoters reports whether this node exchanges directly with all voters.
func (c *Core) exchangesWithVoters() bool {
	return c.isVoter() || c.isWatcher() || len(c.members.alive) < c.config.DirectLimit
}

// sortAddresses returns the addresses in sorted order, because map order would make the order of
// sending nondeterministic.
func sortAddresses(targets map[netip.AddrPort]bool) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(targets), netip.AddrPort.Compare)
}

func (c *Core) addTarget(targets map[netip.AddrPort]bool, name string) {
	if member, ok := c.members.byName[name]; ok {
		targets[member.Address] = true
	}
}

// addFallbackTargets adds random members in every randomExchangeRounds-th round, and in each round
// while the confirmation is older than half the window.
func (c *Core) addFallbackTargets(now Time, targets map[netip.AddrPort]bool) {
	if len(c.members.alive) == 0 {
		return
	}
	old := c.FreshFor(now) < c.config.Window/2
	if old || c.exchangeRounds%randomExchangeRounds == 0 {
		targets[c.randomMember().Address] = true
	}
	if old && len(c.members.roots) > 0 {
		targets[c.members.roots[c.random.IntN(len(c.members.roots))].Address] = true
	}
}

func (c *Core) randomMember() Member {
	return c.members.alive[c.random.IntN(len(c.members.alive))]
}

// sendRequest sends one exchange request. The recorded time is the caller's clock reading, which is
// no later than the sending.
func (c *Core) sendRequest(now Time, to netip.AddrPort) {
	c.sequence++
	pending := pendingRequest{sentAt: now}
	if c.isVoter() {
		pending.claimedIncarnation = c.self.Incarnation
	}
	c.requests[c.sequence] = pending
	c.send(to, Packet{Request: &ExchangeRequest{
		Sequence:    c.sequence,
		Name:        c.self.Name,
		Incarnation: c.self.Incarnation,
		Revision:    c.log.revision(),
		Claim:       pending.claimedIncarnation != 0,
		Known:       c.hashClaims(),
	}})
}

// expireRequests drops requests that have been unanswered for longer than the window.
func (c *Core) expireRequests(now Time) {
	for sequence, pending := range c.requests {
		if now-pending.sentAt > c.config.Window {
			delete(c.requests, sequence)
		}
	}
}

// answerRequest responds to an exchange request.
func (c *Core) answerRequest(now Time, from netip.AddrPort, request *ExchangeRequest) {
	if request.Claim {
		c.recordClaim(now, Claim{Name: request.Name, Incarnation: request.Incarnation})
	}
	c.recordPeerRevision(now, request.Name, request.Incarnation, request.Revision)
	c.planFetch(now, from, request.Revision)
	response := &ExchangeResponse{
		Sequence:    request.Sequence,
		Name:        c.self.Name,
		Incarnation: c.self.Incarnation,
		Revision:    c.log.revision(),
		Voter:       c.canVote(),
		Claims:      c.claimsFor(request),
	}
	if at, ok := c.ConfirmedAt(); ok {
		response.Confirmed, response.Age = true, now-at
	}
	c.send(from, Packet{Response: response})
}

// handleResponse processes the response to a request of this process and drops every other
// response.
func (c *Core) handleResponse(now Time, from netip.AddrPort, response *ExchangeResponse) {
	pending, ok := c.requests[response.Sequence]
	if !ok || response.Name == c.self.Name {
		return
	}
	delete(c.requests, response.Sequence)
	// Claims are processed first, because responses of superseded incarnations must not count.
	for _, claim := range response.Claims {
		c.recordClaim(now, claim)
	}
	c.recordPeerRevision(now, response.Name, response.Incarnation, response.Revision)
	c.recordVoterResponse(now, pending, response)
	if response.Confirmed {
		at := pending.sentAt - response.Age
		if c.disabled.sendTime {
			at = now - response.Age
		}
		c.addRelayed(relayedConfirmation{revision: response.Revision, at: at})
	}
	c.planFetch(now, from, response.Revision)
	c.reconfirm(now)
}

// recordVoterResponse records a response if its sender is a voter.
func (c *Core) recordVoterResponse(now Time, pending pendingRequest, response *ExchangeResponse) {
	if _, voter := c.log.catalog.Voters[response.Name]; !voter {
		return
	}
	c.recordClaim(now, Claim{Name: response.Name, Incarnation: response.Incarnation})
	if !c.isCurrentIncarnation(response.Name, response.Incarnation) {
		return
	}
	registered := pending.claimedIncarnation != 0 && pending.claimedIncarnation == c.self.Incarnation
	if registered {
		c.takeover.registered[response.Name] = true
	}
	sentAt := pending.sentAt
	if c.disabled.sendTime {
		sentAt = now
	}
	c.storeVoterResponse(response.Name, voterResponse{
		valid:       true,
		sentAt:      sentAt,
		incarnation: response.Incarnation,
		revision:    response.Revision,
		voter:       response.Voter,
		registered:  registered,
	})
}

// recordPeerRevision stores the highest known revision of a member's newest incarnation.
func (c *Core) recordPeerRevision(now Time, name string, incarnation, revision uint64) {
	if _, member := c.members.byName[name]; !member {
		return
	}
	previous, ok := c.peerRevisions[name]
	if ok && previous.Incarnation > incarnation {
		return
	}
	if ok && previous.Incarnation == incarnation && previous.Revision > revision {
		revision = previous.Revision // a newer packet arrived before this one
	}
	c.peerRevisions[name] = PeerRevision{Name: name, Incarnation: incarnation, Revision: revision, At: now}
}
