package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/edge/subset"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/settings"
)

// share is the part of what all nodes have together that this node and others
// like it divide: connections to leaves, and extra load beyond the ratio.
type share struct {
	census subset.Census
	part   float64
	// alone says that no node runs requests for others.
	alone bool
}

// executorPart is the part that executors divide, who run the requests of the
// others as a rule. The rest is for the others, who run their own when no
// executor can.
const executorPart = 0.5

// shareOf returns what a node with a role divides, and with whom. The number of
// nodes may be larger than that of the members known.
func shareOf(roles executors.Roles, members []roster.Member, nodes int) share {
	if len(roles.Executors) == 0 {
		return share{census: censusOf(members, nodes), part: 1, alone: true}
	}
	if roles.Self == executors.RoleExecutor {
		return share{census: censusOf(roles.Executors, len(roles.Executors)), part: executorPart}
	}
	return share{census: censusOf(roles.Others(members), nodes-len(roles.Executors)), part: 1 - executorPart}
}

// executorSlack is the part of the extra load beyond the ratio that executors divide
// at services that are shards of a route, whose requests they run as a rule. Where a
// third of the attempts hang, one of eight executors answers 0.74 of its queries in
// time with it, and 0.70 with half (TestSlackOfExecutorsReachesCallers). The rest is
// for nodes that run their own when no executor can.
const executorSlack = 0.85

// slackOf returns what a node with a role divides of the extra load beyond the ratio,
// and with whom: at a service that is a shard of a route, or at another one, whose
// requests run where they came in.
func slackOf(roles executors.Roles, members []roster.Member, nodes int, shard bool) share {
	divided := shareOf(roles, members, nodes)
	switch {
	case divided.alone:
		return divided
	case !shard:
		return share{census: censusOf(members, nodes), part: 1}
	case roles.Self == executors.RoleExecutor:
		divided.part = executorSlack
	default:
		divided.part = 1 - executorSlack
	}
	return divided
}

// budgets returns the bounds of the extra load that this node may cause at each shard
// of the Dispatcher, by what the configuration in force says of its service.
func (f *Node) budgets(roles executors.Roles, members []roster.Member, nodes int) func(shard int) hedge.Bounds {
	shards := make(map[int]bool, len(f.shards))
	for service := range f.shards {
		shards[f.index.Of(service)] = true
	}
	ofShards := slackOf(roles, members, nodes, true).budget(f.settings.Forward)
	ofOthers := slackOf(roles, members, nodes, false).budget(f.settings.Forward)
	return func(shard int) hedge.Bounds {
		if shards[shard] {
			return ofShards
		}
		return ofOthers
	}
}

func censusOf(members []roster.Member, nodes int) subset.Census {
	census := subset.Census{All: nodes, ByZone: make(map[string]int)}
	for _, member := range members {
		census.ByZone[member.Zone]++
	}
	return census
}

const (
	// slackShare is the part of the extra load beyond the ratio that running
	// nodes spend in any window; the rest is for nodes that start.
	slackShare = 0.75
	// savedShare is the part of that which a node saves up for a burst; the rest
	// comes with time, over the window.
	savedShare = 0.6
	// aloneInitial bounds what a node may spend that has earned nothing yet:
	// nodes that are killed come back with it each time. Executors get what
	// slackShare leaves.
	aloneInitial = 1
	// maxReserve bounds the tokens that hedges leave for retries.
	maxReserve = 1
)

// budget returns the bounds of the extra load that this node may cause at each
// shard, beyond the ratio that its own requests earn.
func (s share) budget(from settings.Forward) hedge.Bounds {
	slack := s.part * from.ExtraSlack / float64(max(s.census.All, 1))
	capacity := slackShare * savedShare * slack
	refill := slackShare * (1 - savedShare) * slack / from.ExtraWindow.Duration().Seconds()
	initial := min((1-slackShare)*slack, capacity)
	if s.alone {
		initial = min(aloneInitial, capacity)
	}
	return hedge.Bounds{Initial: initial, Capacity: capacity, Reserve: min(maxReserve, capacity/4), Refill: refill}
}

const (
	// probeSpacing is the time between two probes of a slow leaf by all nodes
	// together that run most queries. Probes and hedges share one budget of each
	// shard, which shards with slow leaves need for hedges.
	probeSpacing = 330 * time.Millisecond
	// minProbeInterval and maxProbeInterval bound the time between two probes of a
	// leaf by one node: the latter is how late it finds a leaf that is well again.
	minProbeInterval = 2 * time.Second
	maxProbeInterval = 10 * time.Second
)

// probeInterval returns the time between two probes of a slow leaf by this node.
func (s share) probeInterval() time.Duration {
	return min(max(time.Duration(s.census.All)*probeSpacing, minProbeInterval), maxProbeInterval)
}
