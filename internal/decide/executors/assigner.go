package executors

import (
	"math"
	"slices"

	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// executorsPerZone is how many nodes of each zone are executors where all are of
	// one size: two, so that a lost one leaves one near. With one, days with many
	// slow leaves earned 0.015 to 0.020 less at 16 and 76 nodes.
	executorsPerZone = 2
	// minCores is the processor of the smallest node from which a fleet has them. At
	// 0.8 of a core, days with many slow leaves earned 0.05 to 0.4 more with them (16
	// to 76 nodes); at 0.4 and 7 nodes 0.01 more to 0.05 less, since few processors
	// then bear the first seconds after a loss of power; at 0.192 and 76 nodes 0.14
	// less.
	minCores = 0.6
	// retainShare is the part of the least number of nodes down to which a fleet
	// keeps its executors. Not measured: chosen so that a few nodes that come and go
	// change no roles.
	retainShare = 0.75
)

// Assigner assigns roles where nodes may be of one size, too. The zero value assigns
// executors among equals in no fleet. It is not safe for concurrent use.
//
// A node of many equals gets each route's requests too seldom to learn of slow leaves,
// and its part of connections and extra load is a fraction of one. So some nodes of
// each zone run the requests of many shards for all: those whose names come first by a
// hash. What they have no room for runs where it came in. 76 nodes of 0.8 cores each
// ran 0.6 queries a second; with executors they earned 0.603 and 0.638 in place of
// 0.396 and 0.396 on one day, played with two seeds.
type Assigner struct {
	// EqualNodes is the number of equal nodes from which some run the requests of
	// the others; zero for never.
	EqualNodes int

	assigned bool // executors among equals, the last time
}

// Assign computes the roles from the nodes there are.
func (a *Assigner) Assign(self roster.Member, members []roster.Member) Roles {
	roles := Assign(self, members)
	if a.EqualNodes == 0 || len(roles.Executors) > 0 {
		return roles
	}
	least := float64(a.EqualNodes)
	if a.assigned {
		least *= retainShare
	}
	a.assigned = float64(len(members)) >= least && minNodeCores(members) >= minCores
	if !a.assigned {
		return roles
	}
	roles.Executors = roster.FirstOfZones(members, executorsPerZone)
	roles.Self = RoleDelegator
	if slices.ContainsFunc(roles.Executors, func(executor roster.Member) bool { return executor.Name == self.Name }) {
		roles.Self = RoleExecutor
	}
	return roles
}

// smallest returns the cores of the smallest node.
func minNodeCores(members []roster.Member) float64 {
	least := math.Inf(1)
	for _, member := range members {
		least = min(least, member.Cores)
	}
	return least
}
