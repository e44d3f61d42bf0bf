// Package share divides among the nodes what all of them have together: the extra load beyond its
// ratio, the probes of slow leaves, and the connections to leaves that accept few. It is pure.
//
// Rule: executors divide one fraction among each other and all other nodes the rest. If each node
// runs its own requests, all nodes get the same share. Each node computes its share from the
// announced nodes, so no node assigns shares and no message is needed when a node joins or leaves.
//
// Inputs: the roles of the nodes (executors.Roles), the announced nodes, their number (which may
// exceed the number of announced nodes, since nodes count for a while after they left), whether a
// service is a shard of a route, the extra attempts that the platform allows in a window, and the
// connections that a leaf accepts.
//
// Reason: executors run the requests of many shards; the other nodes run theirs only if no executor
// can.
//
// Package subset decides which replicas a node connects to, package hedge how a budget is spent.
package share

import (
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/subset"
	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// executorConnectionShare is the share of the connections to leaves, and of the extra load
	// if executors and others do not differ by service, that executors divide.
	executorConnectionShare = 0.5
	// executorSlackShare is the share of the extra load beyond the ratio that executors divide
	// at services that are shards of a route, since executors usually run the requests for these
	// services. If a third of the attempts hang, one of eight executors answers 74 % of its
	// queries in time with it, and 70 % with 0.5 (TestExecutorsShareWholeSlack).
	executorSlackShare = 0.85
)

// Share is one node's share of a resource that it divides with similar nodes.
type Share struct {
	nodeCounts subset.NodeCounts
	// fraction is the fraction of the resource that these nodes divide, from 0 to 1.
	fraction float64
	// standalone is set if no node runs requests for others.
	standalone bool
}

// Standalone returns the share of one of several nodes, each of which runs its own requests.
func Standalone(nodes int) Share {
	return Share{nodeCounts: subset.NodeCounts{Total: nodes}, fraction: 1, standalone: true}
}

// ForConnections returns the share of connections of a node with a role.
func ForConnections(roles executors.Roles, members []roster.Member, nodes int) Share {
	if len(roles.Executors) == 0 {
		return Share{nodeCounts: countNodes(members, nodes), fraction: 1, standalone: true}
	}
	if roles.Self == executors.RoleExecutor {
		return Share{nodeCounts: countNodes(roles.Executors, len(roles.Executors)), fraction: executorConnectionShare}
	}
	return Share{nodeCounts: countNodes(roles.NonExecutors(members), nodes-len(roles.Executors)), fraction: 1 - executorConnectionShare}
}

// ForExtraLoad returns a node's share of the extra load beyond the ratio. shard reports whether the
// service is a shard of a route; the requests for any other service run on the nodes that received
// them.
func ForExtraLoad(roles executors.Roles, members []roster.Member, nodes int, shard bool) Share {
	divided := ForConnections(roles, members, nodes)
	switch {
	case divided.standalone:
		return divided
	case !shard:
		return Share{nodeCounts: countNodes(members, nodes), fraction: 1}
	case roles.Self == executors.RoleExecutor:
		divided.fraction = executorSlackShare
	default:
		divided.fraction = 1 - executorSlackShare
	}
	return divided
}

func countNodes(members []roster.Member, nodes int) subset.NodeCounts {
	counts := subset.NodeCounts{Total: nodes, ByZone: make(map[string]int)}
	for _, member := range members {
		counts.ByZone[member.Zone]++
	}
	return counts
}
