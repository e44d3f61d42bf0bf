package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
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
// reading of the clock, and a majority of the voters, each heard from since,
// hold the revision.
func (n *Node) ownershipProved(after time.Duration, revision uint64) bool {
	left := n.dissemination.FreshFor()
	confirmed := n.clock.Now() + left - n.settings.Freshness.Window.Duration()
	if left <= 0 || confirmed <= after {
		return false
	}
	return n.majority(func(peer dissemination.PeerRevision) bool {
		return peer.At > after && peer.Revision >= revision
	})
}

// acknowledged reports whether a majority of the voters has been heard from
// within the freshness window. A process whose slot was taken over learns of it
// from them; reading the store alone, it would not.
func (n *Node) acknowledged() bool {
	since := n.clock.Now() - n.settings.Freshness.Window.Duration()
	return n.majority(func(peer dissemination.PeerRevision) bool { return peer.At > since })
}

// majority reports whether the voters that counts accepts, with this node if it
// is one, are more than half.
func (n *Node) majority(counts func(dissemination.PeerRevision) bool) bool {
	return isMajority(n.dissemination.Current().Voters, n.settings.Name, n.dissemination.PeerRevisions(), counts)
}

func isMajority(voters map[string]catalog.Voter, self string, peers []dissemination.PeerRevision, counts func(dissemination.PeerRevision) bool) bool {
	counted := 0
	if _, voter := voters[self]; voter {
		counted++
	}
	for _, peer := range peers {
		if _, voter := voters[peer.Name]; voter && peer.Name != self && counts(peer) {
			counted++
		}
	}
	return counted > len(voters)/2
}
