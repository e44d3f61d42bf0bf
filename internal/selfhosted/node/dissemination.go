package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/dissemination"
	"github.com/micaplank/micaplank/internal/selfhosted/membership"
)

// listDisseminationMembers converts the member list to the form that package dissemination uses.
func (n *Node) listDisseminationMembers() []dissemination.Member {
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

// isOwnershipProved reports whether this node is fresh and a majority of the voters that recognize
// this process confirmed, in response to requests sent after the given clock reading, that they
// hold the revision.
func (n *Node) isOwnershipProved(after time.Duration, revision uint64) bool {
	held, proved := n.dissemination.MajorityHeldAt(revision)
	return proved && held > after && n.dissemination.Fresh()
}

// isAcknowledgedByMajority reports whether a majority of the voters that recognize this process
// responded to requests sent within the freshness window. The voters inform a process that its slot
// was taken over; the store alone would not. The time of sending counts, because responses that
// were buffered in the socket while the process was suspended prove nothing.
func (n *Node) isAcknowledgedByMajority() bool {
	held, proved := n.dissemination.MajorityHeldAt(0)
	return proved && held > n.clock.Now()-n.settings.Freshness.Window.Duration()
}
