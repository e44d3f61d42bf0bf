package relay

import (
	"math"
	"slices"

	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// executorsPerZone is how many nodes of each zone run the requests of many shards
	// where all are of one size: two, so that a lost one leaves one near. With
	// one, days with many slow leaves earned 0.015 to 0.020 less at 16 and 76 nodes.
	executorsPerZone = 2
	// leastCores is the processor of a node from which a fleet has them. At 0.8 of a
	// core, days with many slow leaves earned 0.05 to 0.4 more with them (16 to 76
	// nodes); at 0.4 and 7 nodes 0.01 more to 0.05 less, since few processors then bear
	// the first seconds after a loss of power; at 0.192 and 76 nodes 0.14 less.
	leastCores = 0.6
	// stayShare is the part of the least number of nodes down to which a fleet keeps
	// its executors, so that a few nodes that come and go change no roles.
	stayShare = 0.75
)

// Fleet assigns roles where nodes may be of one size, too. The zero value assigns
// executors among equals in no fleet. It is not safe for concurrent use.
//
// A node of many equals gets each route's requests too seldom to learn of slow leaves,
// and its part of connections and extra load is a fraction of one. So some nodes of
// each zone run the requests of many shards for all: those whose names come first by a
// hash. What they have no room for runs where it came in.
type Fleet struct {
	// Least is the number of equal nodes from which some run the requests of the
	// others; zero for never.
	Least int

	chosen bool
}

// Assign computes the roles from the nodes there are.
func (f *Fleet) Assign(self roster.Member, members []roster.Member) Roles {
	roles := Assign(self, members)
	if f.Least == 0 || len(roles.Executors) > 0 {
		return roles
	}
	least := float64(f.Least)
	if f.chosen {
		least *= stayShare
	}
	f.chosen = float64(len(members)) >= least && leastOf(members) >= leastCores
	if !f.chosen {
		return roles
	}
	roles.Executors = roster.FirstOfZones(members, executorsPerZone)
	roles.Self = RoleRelay
	if slices.ContainsFunc(roles.Executors, func(one roster.Member) bool { return one.Name == self.Name }) {
		roles.Self = RoleExecutor
	}
	return roles
}

// leastOf returns the cores of the smallest node.
func leastOf(members []roster.Member) float64 {
	least := math.Inf(1)
	for _, member := range members {
		least = min(least, member.Cores)
	}
	return least
}
