package dissemination

import (
	"net/netip"

	"github.com/micaplank/micaplank/internal/catalog"
)

// maxPushedChanges is the number of changes above which a push contains only the revision.
const maxPushedChanges = 16

// handlePush installs pushed changes and pushes the new ones to other members.
func (c *Core) handlePush(now Time, from netip.AddrPort, push *Push) {
	installed := c.log.append(push.Changes)
	if len(installed) > 0 {
		c.handleInstalled(now)
		c.pushToRandom(installed)
	}
	c.planFetch(now, from, push.Revision)
}

// pushToRandom pushes newly installed changes to PushFanout random members.
func (c *Core) pushToRandom(changes []catalog.Change) {
	alive := len(c.members.alive)
	for _, index := range c.random.Perm(alive)[:min(alive, c.config.PushFanout)] {
		c.push(c.members.alive[index].Address, changes)
	}
}

func (c *Core) push(to netip.AddrPort, changes []catalog.Change) {
	if len(changes) > maxPushedChanges {
		changes = nil
	}
	c.send(to, Packet{Push: &Push{Name: c.self.Name, Revision: c.log.revision(), Changes: changes}})
}

// maxDirectPush is the number of members up to which the proposer pushes a change to every member.
// In a larger cluster, the change spreads from member to member.
const maxDirectPush = 64

func (c *Core) pushToVoters(changes []catalog.Change) {
	for _, name := range c.voters {
		if member, ok := c.members.byName[name]; ok {
			c.push(member.Address, changes)
		}
	}
}
