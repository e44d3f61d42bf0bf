package executors

import (
	"slices"

	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// largeShare is the part of the largest node's cores from which a node is
	// an executor. Not measured: chosen below one so that nodes of almost the largest
	// size count, too.
	executorCoreShare = 0.8
	// smallShare is the part of them up to which a node delegates requests. Not
	// measured: chosen because a query takes an executor half of the processor time
	// then, which pays for the way to it.
	delegatorCoreShare = 0.5
)

// Role is what a node does with requests of many shards.
type Role int

// The roles of a node.
const (
	RoleStandalone Role = iota // runs its own
	RoleExecutor               // runs its own and those of others
	RoleDelegator              // hands them to executors
)

// Roles says who runs the requests of whom.
type Roles struct {
	// Self is the role of the node that asked.
	Self Role
	// Executors are sorted by name. There are none if each node is alone.
	Executors []roster.Member
}

// Assign computes the roles by the sizes of the nodes there are. Every node computes
// the same executors from the same members.
//
// How much the executors can take together does not enter: each says for itself
// whether it takes requests, by its Load, and what they refuse runs where it came
// in. So a node that comes or goes moves its own share of the work. A rule over the
// whole fleet, executors only if they have a fifth of all cores, was replaced by
// that: on 295 nodes they had 0.213, and with one large node fewer every node ran
// its own queries.
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

// Combiners returns the nodes through which attempts at leaves of other zones may
// go: the executors, or all nodes where each runs its own requests. A node that
// delegates its requests needs none.
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

// Others returns the members that are no executors.
func (r Roles) NonExecutors(members []roster.Member) []roster.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member roster.Member) bool {
		return slices.Contains(r.Executors, member)
	})
}
