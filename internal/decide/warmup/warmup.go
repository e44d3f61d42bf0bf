// Package warmup divides among the nodes the request rate of a cold leaf: a leaf that has just
// started, or whose zone has just returned to service. It is pure.
//
// Rule: all nodes together plan to send a cold leaf a share of the rate that its service declares.
// For services that are shards of a route, the executors divide most of that rate and the other
// nodes the rest. If the rate is too low for every node, only some nodes send to a given leaf.
//
// Inputs: the rate that a cold leaf can handle (requests per second), the tolerated excess, the
// roles of the nodes, the announced nodes, and the names of node and leaf.
//
// Reason: without shares, all nodes send to a returned leaf at once and exceed its rate. Each node
// computes its share from the announcements, because asking another node would cost a round trip
// per attempt, and assigning each leaf to a few owners would require a second path for requests.
//
// How a node spends its rate is decided in package dispatch.
package warmup

import (
	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// plannedShare is the share of the rate of a cold leaf that all nodes plan to send. Attempts
	// sent over more than a second may arrive within one second, and nodes that restart have
	// their first token again.
	plannedShare = 0.8
	// executorShare is the share of the planned rate that executors divide for services that are
	// shards, since executors usually run the requests for these services.
	executorShare = 0.75
	// minRate is the lowest rate, in attempts per second, of a node that sends to a cold leaf.
	// If there are more nodes than shares of this rate, only some nodes send.
	minRate = 1.5
)

// LeafRate holds the configured request rate of the cold leaves of a service.
type LeafRate struct {
	// PerSecond is how many requests per second a cold leaf can handle.
	PerSecond float64
	// Shard is set if the service is a shard of a route.
	Shard bool
}

// Tolerance is the tolerated excess over a LeafRate in any second: the rate may be exceeded by the
// factor Overshoot, plus Slack requests.
type Tolerance struct {
	Overshoot float64
	Slack     float64
}

// NodeRate returns how many attempts per second a node may send to a cold leaf; zero if it has no
// share. leaf is the name of the leaf's incarnation.
func (b LeafRate) NodeRate(self roster.Member, leaf string, roles executors.Roles, members []roster.Member, tolerance Tolerance) float64 {
	rateLimit := b.PerSecond*tolerance.Overshoot + tolerance.Slack
	sharers, fraction := findSharers(roles, members, b.Shard)
	return computeRate(self.Name, leaf, sharers, plannedShare*fraction*rateLimit)
}

// findSharers returns the nodes that divide the rate of a cold leaf with this node, and the
// fraction of the rate that they divide.
func findSharers(roles executors.Roles, members []roster.Member, shard bool) (sharers []roster.Member, fraction float64) {
	if !shard || len(roles.Executors) == 0 {
		return members, 1
	}
	if roles.Self == executors.RoleExecutor {
		return roles.Executors, executorShare
	}
	return roles.NonExecutors(members), 1 - executorShare
}

// computeRate returns one node's share of a rate that the sharers divide for a leaf; zero if the
// node has no share. If there are too many sharers, those first by a hash of the leaf and node
// names get a share, so that the nodes spread over the leaves.
func computeRate(self, leaf string, sharers []roster.Member, rate float64) float64 {
	senders := max(min(len(sharers), int(rate/minRate)), 1)
	selfHash := xxhash.Sum64String(leaf + "/" + self)
	rank, announced := 0, false
	for _, member := range sharers {
		switch hash := xxhash.Sum64String(leaf + "/" + member.Name); {
		case member.Name == self:
			announced = true
		case hash < selfHash:
			rank++
		}
	}
	if !announced || rank >= senders {
		return 0
	}
	return rate / float64(senders)
}
