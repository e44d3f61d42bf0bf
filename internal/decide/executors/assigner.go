package executors

import (
	"math"
	"slices"

	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// executorsPerZone is the number of executors in each zone if all nodes are of one size. With
	// two, a zone that loses one still has a local executor. With one, fleets of 16 and 76 nodes
	// perform worse when many leaves are slow.
	executorsPerZone = 2
	// minCores is the number of cores of the smallest node from which a fleet of equal nodes has
	// executors. At 0.8 cores, fleets of 16 to 76 nodes with many slow leaves gain from them. At
	// 0.4 cores they hardly gain and may lose, since few processors handle the first seconds after
	// a power loss. At 0.192 cores they lose.
	minCores = 0.6
	// retainShare is the share of EqualNodes down to which a fleet keeps its executors, so that
	// a few nodes that join and leave do not change the roles.
	retainShare = 0.75
)

// Assigner assigns roles, also where nodes are of equal size. The zero value assigns no executors
// among equal nodes. It is not safe for concurrent use.
//
// One of many equal nodes receives too few requests of each route to detect slow leaves (0.6
// queries per second in a fleet of 76 nodes), and its shares of connections and extra load are
// below one. Therefore some nodes of each zone run the requests of many shards for all nodes: those
// whose names come first by a hash. Requests for which the executors have no capacity run on the
// node that received them.
type Assigner struct {
	// EqualNodes is the number of equal nodes from which some run the requests of the others; zero
	// disables this.
	EqualNodes int

	assigned bool // whether the last Assign chose executors among equal nodes
}

// Assign computes the roles of the announced nodes.
func (a *Assigner) Assign(self roster.Member, members []roster.Member) Roles {
	roles := Assign(self, members)
	if a.EqualNodes == 0 || len(roles.Executors) > 0 {
		return roles
	}
	least := float64(a.EqualNodes)
	if a.assigned {
		least *= retainShare
	}
	a.assigned = float64(len(members)) >= least && smallestCores(members) >= minCores
	if !a.assigned {
		return roles
	}
	roles.Executors = roster.SelectPerZone(members, executorsPerZone)
	roles.Self = RoleDelegator
	if slices.ContainsFunc(roles.Executors, func(executor roster.Member) bool { return executor.Name == self.Name }) {
		roles.Self = RoleExecutor
	}
	return roles
}

// smallestCores returns the cores of the smallest node.
func smallestCores(members []roster.Member) float64 {
	least := math.Inf(1)
	for _, member := range members {
		least = min(least, member.Cores)
	}
	return least
}
