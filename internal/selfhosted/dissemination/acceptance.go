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
	firstRound map[string]uint64
	firstAt    Time
	nextPoll   Time
}

// roundTimeout is after how many retry intervals the first round is repeated.
const roundTimeout = 5

// pollAcceptance advances a by what is known now, asks the voters if that is
// due, and says whether the revision is accepted.
func (c *Core) pollAcceptance(now Time, a *acceptance) bool {
	voters := c.log.catalog.Voters
	if len(voters) == 0 {
		return true // the store alone decides
	}
	if !maps.Equal(a.voters, voters) || (a.firstRound != nil && now-a.firstAt > roundTimeout*c.config.RetryInterval) {
		a.voters, a.firstRound, a.nextPoll = voters, nil, now
	}
	if a.firstRound == nil {
		if holders := c.holders(a.revision); len(holders) >= c.quorum() {
			a.firstRound, a.firstAt, a.nextPoll = holders, now, now
		}
	}
	if a.firstRound != nil && (c.omit.secondRound || c.stillHolding(a) >= c.quorum()) {
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
	found := map[string]uint64{}
	for name, s := range c.slots {
		if c.counts(name, s, revision) {
			found[name] = s.latest.incarnation
		}
	}
	if c.votes() && c.log.revision() >= revision {
		found[c.self.Name] = c.self.Incarnation
	}
	return found
}

func (c *Core) counts(name string, s *slot, revision uint64) bool {
	return s.latest.valid && s.latest.voter && s.latest.revision >= revision && c.current(name, s.latest.incarnation)
}

// stillHolding counts the first round's voters that were asked again since.
func (c *Core) stillHolding(a *acceptance) int {
	count := 0
	for name, incarnation := range a.firstRound {
		if name == c.self.Name {
			if c.votes() && c.self.Incarnation == incarnation {
				count++
			}
			continue
		}
		s := c.slots[name]
		if s != nil && c.counts(name, s, a.revision) && s.latest.incarnation == incarnation && s.latest.sentAt >= a.firstAt {
			count++
		}
	}
	return count
}

func (c *Core) requestVoters(now Time) {
	for _, name := range c.voters {
		if member, ok := c.members.byName[name]; ok {
			c.request(now, member.Address)
		}
	}
}
