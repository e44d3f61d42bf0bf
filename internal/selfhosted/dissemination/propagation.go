package dissemination

import (
	"fmt"
	"time"
)

const (
	// maxPolledMembers is the maximum number of requests in one poll of the members.
	maxPolledMembers = 256
	// memberCheckInterval is the time between checks of the members' revisions in a cluster of more
	// than maxDirectPush members. A smaller cluster is checked after each response.
	memberCheckInterval = 50 * time.Millisecond
)

// awaitPropagation waits until all members hold an accepted change. It also waits for listed
// members that are not alive, because they may continue to serve for some time. Once the window has
// passed, no member without the change can serve.
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
		c.finish(p, FateInForce, fmt.Sprintf("%d of %d members have not confirmed the change; they cannot serve until they hold it",
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

// membersHolding returns the number of alive members that are known to hold a revision, including
// this node, and the alive members that are not.
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

// allListedMembersHold reports whether all listed members, alive or not, are known to hold a
// revision.
func (c *Core) allListedMembersHold(revision uint64) bool {
	for name := range c.members.byName {
		if c.peerRevisions[name].Revision < revision {
			return false
		}
	}
	return true
}
