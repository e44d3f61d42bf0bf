package dissemination

import (
	"fmt"
	"time"
)

const (
	// maximumPolled bounds the requests of one poll of the members.
	maxPolledMembers = 256
	// spreadCheckInterval is the time between looks at many members; a few are
	// looked at after each answer.
	memberCheckInterval = 50 * time.Millisecond
)

// spread waits until all members hold an accepted change. A member that is
// listed but not alive may serve on for a while, so it is waited for as well;
// after the window no member that lacks the change can serve.
func (c *Core) awaitPropagation(now Time, p *proposal) {
	if now < p.nextMemberCheck {
		return
	}
	if len(c.members.alive) > maxDirectPush {
		p.nextMemberCheck = now + memberCheckInterval
	}
	held, missing := c.membersHolding(p.change.Revision)
	if len(missing) == 0 && c.allListedMembersHold(p.change.Revision) {
		c.finish(p, FateInForce, "")
		return
	}
	if now-p.acceptedAt > c.config.Window {
		c.finish(p, FateInForce, fmt.Sprintf("%d of %d members have not confirmed it; they cannot serve until they hold it",
			len(missing), held+len(missing)))
		return
	}
	if now >= p.nextPoll {
		p.nextPoll = now + c.config.RetryInterval
		first := 0
		if len(missing) > maxPolledMembers {
			first = c.random.IntN(len(missing))
		}
		for index := range min(len(missing), maxPolledMembers) {
			c.sendRequest(now, missing[(first+index)%len(missing)].Address)
		}
	}
}

// holding counts the alive members known to hold a revision, this node
// included, and returns the others.
func (c *Core) membersHolding(revision uint64) (int, []Member) {
	held := 0
	if c.log.revision() >= revision {
		held++
	}
	var missing []Member
	for _, member := range c.members.alive {
		if c.peerRevisions[member.Name].Revision >= revision {
			held++
		} else {
			missing = append(missing, member)
		}
	}
	return held, missing
}

func (c *Core) allListedMembersHold(revision uint64) bool {
	for name := range c.members.byName {
		if c.peerRevisions[name].Revision < revision {
			return false
		}
	}
	return true
}
