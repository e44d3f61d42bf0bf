package dissemination

import (
	"maps"

	"github.com/micaplank/micaplank/internal/catalog"
)

// acceptance finds out whether a majority of the voters held a revision at one
// moment.
//
// One round of answers does not show that: a voter may have been restarted, and
// have recovered without the revision, between its answer and the last one. So
// once a majority has answered, at firstAt, the same processes are asked again.
// A second answer shows that the process ran, and so held the revision, at
// firstAt.
type acceptance struct {
	revision uint64
	voters   map[string]catalog.Voter
	// firstRound holds the incarnations of the first round's majority.
	firstRound   map[string]uint64
	firstRoundAt Time
	nextPoll     Time
}

// roundTimeout is after how many retry intervals the first round is repeated.
const roundTimeoutRetries = 5

// pollAcceptance advances a by what is known now, asks the voters if that is
// due, and says whether the revision is accepted.
func (c *Core) pollAcceptance(now Time, a *acceptance) bool {
	voters := c.log.catalog.Voters
	if len(voters) == 0 {
		return true // the store alone decides
	}
	if !maps.Equal(a.voters, voters) || (a.firstRound != nil && now-a.firstRoundAt > roundTimeoutRetries*c.config.RetryInterval) {
		a.voters, a.firstRound, a.nextPoll = voters, nil, now
	}
	if a.firstRound == nil {
		if holders := c.holders(a.revision); len(holders) >= c.needed() {
			a.firstRound, a.firstRoundAt, a.nextPoll = holders, now, now
		}
	}
	if a.firstRound != nil && (c.disabled.secondRound || c.countSecondRound(a) >= c.needed()) {
		return true
	}
	if now >= a.nextPoll {
		a.nextPoll = now + c.config.RetryInterval
		c.requestVoters(now)
	}
	return false
}

// holders returns the voters known to hold a revision, with their incarnations.
func (c *Core) holders(revision uint64) map[string]uint64 {
	incarnations := map[string]uint64{}
	for name, s := range c.voterStates {
		if c.holdsCountably(name, s, revision) {
			incarnations[name] = s.latest.incarnation
		}
	}
	if c.canVote() && c.log.revision() >= revision {
		incarnations[c.self.Name] = c.self.Incarnation
	}
	return incarnations
}

func (c *Core) holdsCountably(name string, s *voterState, revision uint64) bool {
	return s.latest.valid && s.latest.voter && s.latest.revision >= revision && c.isCurrentIncarnation(name, s.latest.incarnation)
}

// stillHolding counts the first round's voters that were asked again since.
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
