// Package relay lets small nodes hand requests of many shards to nodes with
// more processor.
//
// The processor time of a query of many shards is part of its latency, and a
// small node takes it several times as long. A few large nodes, the executors,
// run such queries for the others. That also keeps the connections to leaves
// few, and lets an executor learn of slow leaves from many queries in place of
// one a second.
//
// A request is handed on at most once. If the executor proves that it did not
// run it, another one gets it, and last the node itself. If the executor is
// lost with it, the request may have run and has failed.
package relay

import "github.com/micaplank/micaplank/internal/roster"

const (
	// largeShare is the part of the largest node's cores from which a node is
	// an executor.
	largeShare = 0.8
	// smallShare is the part of them up to which a node hands requests on: a
	// query takes an executor half of the processor time then, which pays for the
	// way to it.
	smallShare = 0.5
)

// Role is what a node does with requests of many shards.
type Role int

// The roles of a node.
const (
	RoleAlone    Role = iota // runs its own
	RoleExecutor             // runs its own and those of others
	RoleRelay                // hands them to executors
)

// Roles says who runs the requests of whom.
type Roles struct {
	// Self is the role of the node that asked.
	Self Role
	// Executors are sorted by name. There are none if each node is alone.
	Executors []roster.Member
}

// Assign computes the roles from the nodes there are. Every node computes the
// same executors from the same members.
//
// How much the executors can take together is no matter of the roles: each says
// for itself whether it takes requests, by its Load, and what they refuse runs
// where it came in. So a node that comes or goes moves its own share of the work.
func Assign(self roster.Member, members []roster.Member) Roles {
	largest := 0.0
	for _, member := range members {
		largest = max(largest, member.Cores)
	}
	var executors []roster.Member
	relays := false
	for _, member := range members {
		if member.Cores >= largeShare*largest && member.Cores > 0 {
			executors = append(executors, member)
		}
		relays = relays || member.Cores <= smallShare*largest
	}
	if len(executors) == 0 || !relays {
		return Roles{}
	}
	roles := Roles{Executors: executors}
	switch {
	case self.Cores >= largeShare*largest:
		roles.Self = RoleExecutor
	case self.Cores <= smallShare*largest:
		roles.Self = RoleRelay
	}
	return roles
}

// watchedExecutors is how many executors a node keeps in touch with, beside those
// that are lost.
const watchedExecutors = 3
