package dissemination

import (
	"maps"

	"github.com/micaplank/micaplank/internal/catalog"
)

// acceptance determines whether a majority of the voters held a revision at the same moment.
//
// One round of responses is not sufficient: a voter may restart after its response and recover
// without the revision before the last response arrives. Therefore the same processes are asked
// again after a majority has responded at firstRoundAt. A second response proves that the process
// was running, and so held the revision, at firstRoundAt.
type acceptance struct {
	revision uint64
	voters   map[string]catalog.Voter
	// firstRound holds the incarnations of the voters that form the majority of the first round.
	firstRound   map[string]uint64
	firstRoundAt Time
	nextPoll     Time
}

// roundTimeoutRetries is the number of retry intervals after which the first round is repeated.
const roundTimeoutRetries = 5

// pollAcceptance evaluates the received responses, sends requests to the voters if they are due,
// and reports whether the revision is accepted.
func (c *Core) pollAcceptance(now Time, a *acceptance) bool {
	voters := c.log.catalog.Voters
	if len(voters) == 0 {
		return true // without voters, a stored change is accepted
	}
	if !maps.Equal(a.voters, voters) || (a.firstRound != nil && now-a.firstRoundAt > roundTimeoutRetries*c.config.RetryInterval) {
		a.voters, a.firstRound, a.nextPoll = voters, nil, now
	}
	if a.firstRound == nil {
		if holders := c.holders(a.revision); len(holders) >= c.quorum() {
			a.firstRound, a.firstRoundAt, a.nextPoll = holders, now, now
		}
	}
	if a.firstRound != nil && (c.disabled.secondRound || c.countSecondRound(a) >= c.quorum()) {
		return true
	}
	if now >= a.nextPoll {
		a.nextPoll = now + c.config.RetryInterval
		c.requestVoters(now)
	}
	return false
}

// holders returns the voters that are known to hold a revision, with their incarnations.
func (c *Core) holders(revision uint64) map[string]uint64 {
	incarnations := map[string]uint64{}
	for name, state := range c.voterStates {
		if c.holdsCountably(name, state, revision) {
			incarnations[name] = state.latest.incarnation
		}
	}
	if c.canVote() && c.log.revision() >= revision {
		incarnations[c.self.Name] = c.self.Incarnation
	}
	return incarnations
}

// holdsCountably reports whether the latest response of a voter counts toward a quorum for a
// revision.
func (c *Core) holdsCountably(name string, state *voterState, revision uint64) bool {
	return state.latest.valid && state.latest.voter && state.latest.revision >= revision && c.isCurrentIncarnation(name, state.latest.incarnation)
}

// countSecondRound returns the number of first-round voters that have responded again, to a request
// sent at firstRoundAt or later.
func (c *Core) countSecondRound(a *acceptance) int {
	count := 0
	for name, incarnation := range a.firstRound {
		if name == c.self.Name {
			if c.canVote() && c.self.Incarnation == incarnation {
				count++
			}
			continue
		}
		state := c.voterStates[name]
		if state != nil && c.holdsCountably(name, state, a.revision) && state.latest.incarnation == incarnation && state.latest.sentAt >= a.firstRoundAt {
			count++
		}
	}
	return count
}

func (c *Core) requestVoters(now Time) {
	for _, name := range c.voters {
		if member, ok := c.members.byName[name]; ok {
			c.sendRequest(now, member.Address)
		}
	}
}
