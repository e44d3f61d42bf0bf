package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/dissemination"
	"github.com/micaplank/micaplank/internal/selfhosted/membership"
)

// disseminationMembers lists the members as the dissemination needs them.
func (n *Node) disseminationMembers() []dissemination.Member {
	listed := n.membership.Members()
	members := make([]dissemination.Member, len(listed))
	for i, member := range listed {
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

// ownershipProved reports whether this node is fresh, and a majority of the
// voters that know this process answered, to requests sent after the given
// reading of the clock, that they hold the revision.
func (n *Node) isOwnershipProved(after time.Duration, revision uint64) bool {
	held, proved := n.dissemination.HeldAt(revision)
	return proved && held > after && n.dissemination.Fresh()
}

// acknowledged reports whether a majority of the voters that know this process
// answered requests sent within the freshness window. A process whose slot was
// taken over learns of it from them; reading the store alone, it would not.
// The time of sending counts: after a freeze, answers that waited in the socket
// prove nothing.
func (n *Node) isAcknowledgedByMajority() bool {
	held, proved := n.dissemination.HeldAt(0)
	return proved && held > n.clock.Now()-n.settings.Freshness.Window.Duration()
}
