package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/dissemination"
	"github.com/micaplank/micaplank/internal/membership"
)

// disseminationMembers lists the members as the dissemination needs them.
func (n *Node) disseminationMembers() []dissemination.Member {
	known := n.membership.Members()
	members := make([]dissemination.Member, len(known))
	for i, member := range known {
		members[i] = dissemination.Member{
			Name:        member.Name,
			Zone:        member.Zone,
			Address:     member.Address,
			Incarnation: member.Incarnation,
			Alive:       member.State == membership.StateAlive,
		}
	}
	return members
}

// ownershipProved reports whether this node was confirmed after the given
// reading of the clock and a majority of the voters hold the revision.
func (n *Node) ownershipProved(after time.Duration, revision uint64) bool {
	left := n.dissemination.FreshFor()
	confirmed := n.clock.Now() + left - n.settings.Freshness.Window.Duration()
	if left <= 0 || confirmed <= after {
		return false
	}
	voters := n.dissemination.Current().Voters
	holding := 0
	if _, voter := voters[n.settings.Name]; voter {
		holding++
	}
	for _, peer := range n.dissemination.PeerRevisions() {
		_, voter := voters[peer.Name]
		if voter && peer.Name != n.settings.Name && peer.Revision >= revision {
			holding++
		}
	}
	return holding > len(voters)/2
}
