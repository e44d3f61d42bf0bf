// Package share divides among the nodes what all of them have together: the extra
// load beyond its ratio, the probes of slow leaves, and the connections to leaves
// that take few. It is pure.
//
// The rule: executors divide one part among each other and all other nodes the rest;
// where each node runs its own requests, all divide the whole alike. Each node
// computes its own share from the announced nodes, so nobody hands anything out and
// no message is needed when a node comes or goes.
//
// Inputs: the roles of the nodes (executors.Roles), the announced nodes, their number
// (which may be larger than that of the members known, for nodes count for a while
// after they left), whether a service is a shard of some route, the extra attempts
// that the platform allows in a window, and the connections that a leaf takes.
//
// Reason: executors run the requests of many shards, the others run theirs only when
// no executor can.
//
// It owns nothing. It relies on package subset for which replicas a node connects to,
// and on hedge for how a budget is spent.
package share

import (
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/subset"
	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// executorConnections is the part of the connections to leaves, and of the extra
	// load where executors and others are not told apart by service, that executors
	// divide. With 0.8 two large deployments earned 0.634 and 0.573 in place of 0.630
	// and 0.578, which is within the spread.
	executorConnectionShare = 0.5
	// executorSlack is the part of the extra load beyond the ratio that executors
	// divide at services that are shards of a route, whose requests they run as a
	// rule. Where a third of the attempts hang, one of eight executors answers 0.74 of
	// its queries in time with it, and 0.70 with half
	// (TestSlackOfExecutorsReachesCallers).
	executorSlackShare = 0.85
)

// Share is the part of something that a node and others like it divide.
type Share struct {
	nodeCounts subset.NodeCounts
	// part is the part that they divide, from 0 to 1.
	fraction float64
	// alone says that no node runs requests for others.
	standalone bool
}

// Alone returns the share of a node among some, each of which runs its own requests.
func Alone(nodes int) Share {
	return Share{nodeCounts: subset.NodeCounts{Total: nodes}, fraction: 1, standalone: true}
}

// Of returns the share of connections of a node with a role.
func Of(roles executors.Roles, members []roster.Member, nodes int) Share {
	if len(roles.Executors) == 0 {
		return Share{nodeCounts: countNodes(members, nodes), fraction: 1, standalone: true}
	}
	if roles.Self == executors.RoleExecutor {
		return Share{nodeCounts: countNodes(roles.Executors, len(roles.Executors)), fraction: executorConnectionShare}
	}
	return Share{nodeCounts: countNodes(roles.NonExecutors(members), nodes-len(roles.Executors)), fraction: 1 - executorConnectionShare}
}

// OfSlack returns the share of the extra load beyond the ratio of a node with a role:
// at a service that is a shard of a route, or at another one, whose requests run where
// they came in.
func OfSlack(roles executors.Roles, members []roster.Member, nodes int, shard bool) Share {
	divided := Of(roles, members, nodes)
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
	census := subset.NodeCounts{Total: nodes, ByZone: make(map[string]int)}
	for _, member := range members {
		census.ByZone[member.Zone]++
	}
	return census
}
