package dissemination

import (
	"maps"
	"net/netip"
	"slices"
)

// pendingRequest is an exchange that has not been answered.
type pendingRequest struct {
	sentAt Time
	// claimed is the incarnation that the request claimed a slot with, or 0.
	claimedIncarnation uint64
}

// randomExchangeEvery is how many rounds lie between exchanges with a random
// member, which heal what the relay trees miss.
// Not measured: chosen because it adds a quarter of an exchange to each round.
const randomExchangeRounds = 4

// exchange sends this round's requests.
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

// asksVoters says whether this node exchanges with all voters itself.
func (c *Core) exchangesWithVoters() bool {
	return c.isVoter() || c.isWatcher() || len(c.members.alive) < c.config.DirectLimit
}

// sortedAddresses makes the order of sending independent of map order.
func sortAddresses(targets map[netip.AddrPort]bool) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(targets), netip.AddrPort.Compare)
}

func (c *Core) addTarget(targets map[netip.AddrPort]bool, name string) {
	if member, ok := c.members.byName[name]; ok {
		targets[member.Address] = true
	}
}

// addFallbacks adds random members: in some rounds, and in each one while the
// confirmation is getting old.
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

// request sends one exchange request. The time noted is that of the caller's
// reading, which is no later than the sending.
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

func (c *Core) expireRequests(now Time) {
	for sequence, pending := range c.requests {
		if now-pending.sentAt > c.config.Window {
			delete(c.requests, sequence)
		}
	}
}

// answer responds to a request.
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

// learn takes the answer to a request of this process; any other is dropped.
func (c *Core) handleResponse(now Time, from netip.AddrPort, response *ExchangeResponse) {
	pending, ok := c.requests[response.Sequence]
	if !ok || response.Name == c.self.Name {
		return
	}
	delete(c.requests, response.Sequence)
	// Claims come first: what they supersede must not be counted.
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
		c.successor.registered[response.Name] = true
	}
	sentAt := pending.sentAt
	if c.disabled.sendTime {
		sentAt = now
	}
	c.recordAnswer(response.Name, voterAnswer{
		valid:       true,
		sentAt:      sentAt,
		incarnation: response.Incarnation,
		revision:    response.Revision,
		voter:       response.Voter,
		registered:  registered,
	})
}

// noteRevision keeps the newest that is known of a member's revision.
func (c *Core) recordPeerRevision(now Time, name string, incarnation, revision uint64) {
	if _, member := c.members.byName[name]; !member {
		return
	}
	previous, ok := c.peerRevisions[name]
	if ok && previous.Incarnation > incarnation {
		return
	}
	if ok && previous.Incarnation == incarnation && previous.Revision > revision {
		revision = previous.Revision // an older packet overtaken by a newer one
	}
	c.peerRevisions[name] = PeerRevision{Name: name, Incarnation: incarnation, Revision: revision, At: now}
}
