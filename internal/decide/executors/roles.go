package executors

import (
	"slices"

	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// executorCoreShare is the share of the largest node's cores from which a node is an
	// executor. It is below 1 so that nodes of almost the largest size are executors too.
	executorCoreShare = 0.8
	// delegatorCoreShare is the share of the largest node's cores up to which a node delegates
	// requests. An executor needs at most half of the node's processor time for a query, which
	// pays for the round trip.
	delegatorCoreShare = 0.5
)

// Role defines what a node does with requests of many shards.
type Role int

// The roles of a node.
const (
	RoleStandalone Role = iota // runs its own requests
	RoleExecutor               // runs its own requests and those of other nodes
	RoleDelegator              // delegates its requests to executors
)

// Roles describes which nodes run the requests of others.
type Roles struct {
	// Self is the role of the node for which the roles were computed.
	Self Role
	// Executors are sorted by name. They are empty if every node runs its own requests.
	Executors []roster.Member
}

// Assign computes the roles from the sizes of the announced nodes. Every node computes the same
// executors from the same members.
//
// The total capacity of the executors does not matter for the roles: each executor decides by its
// Load whether it accepts a request, and refused requests run on the node that received them. A
// node that joins or leaves thus moves only its own share of the work. A rule over the whole fleet,
// such as executors only if they have a fifth of all cores, lets the loss of a single large node
// move the requests of every node: the large nodes of a fleet of 295 had 21 % of the cores.
func Assign(self roster.Member, members []roster.Member) Roles {
	largest := 0.0
	for _, member := range members {
		largest = max(largest, member.Cores)
	}
	var executors []roster.Member
	delegators := false
	for _, member := range members {
		if member.Cores >= executorCoreShare*largest && member.Cores > 0 {
			executors = append(executors, member)
		}
		delegators = delegators || member.Cores <= delegatorCoreShare*largest
	}
	if len(executors) == 0 || !delegators {
		return Roles{}
	}
	roles := Roles{Executors: executors}
	switch {
	case self.Cores >= executorCoreShare*largest:
		roles.Self = RoleExecutor
	case self.Cores <= delegatorCoreShare*largest:
		roles.Self = RoleDelegator
	}
	return roles
}

// Combiners returns the nodes through which attempts at leaves of other zones may be sent: the
// executors, or all nodes if every node runs its own requests. A node that delegates its requests
// needs none.
func (r Roles) Combiners(members []roster.Member) []roster.Member {
	switch {
	case r.Self == RoleDelegator:
		return nil
	case len(r.Executors) > 0:
		return r.Executors
	default:
		return members
	}
}

// NonExecutors returns the members that are not executors.
func (r Roles) NonExecutors(members []roster.Member) []roster.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member roster.Member) bool {
		return slices.Contains(r.Executors, member)
	})
}
