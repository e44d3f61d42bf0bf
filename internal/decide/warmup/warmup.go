// Package warmup divides among the nodes what a cold leaf bears: a leaf that has just
// started, or whose zone was just put back into service. It is pure.
//
// The rule: all nodes together plan to send a cold leaf a part of the rate that its
// service declares. At services that are shards of a route executors divide most of
// that, the other nodes the rest; where there are more nodes than shares, only some
// nodes send to a given leaf.
//
// Inputs: the rate that a cold leaf bears (requests a second), what is tolerated beyond
// it, the roles of the nodes, the announced nodes, and the names of node and leaf.
//
// Reason: without it all nodes rush at a leaf that came back. Each node computes its
// share from the announcements: to ask another one costs a round trip for each attempt,
// and a few owners of a leaf would need a second way for requests. Where a cold leaf bears
// 8 requests a second, two runs without shares broke that bound 12 and 98 times, and with
// them never; the worth of these runs fell by 0.006 and 0.007 (one run each).
//
// It owns nothing. How a node spends its rate is in package dispatch.
package warmup

import (
	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/roster"
)

const (
	// plannedPart is the part of what a cold leaf bears that all nodes plan to send.
	// Not measured: chosen because attempts sent over more than a second may arrive
	// within one, and nodes that restart have their first token again.
	plannedShare = 0.8
	// executorPart is the part of that which executors divide at services that are
	// shards, whose requests they run as a rule. Not measured.
	executorShare = 0.75
	// minRate is the least rate, in attempts a second, of a node that sends to a cold
	// leaf at all. Where there are more nodes than shares of it, only some send. Not
	// measured: chosen so that a share is more than an attempt a second.
	minRate = 1.5
)

// Bound is what a configuration says of the cold leaves of a service.
type Bound struct {
	// Rate is how many requests a second one of them bears.
	Rate float64
	// Shard is set if the service is a shard of some route.
	Shard bool
}

// Tolerance is what is tolerated beyond a Bound, in any second: its rate times
// Overshoot, and Slack requests more.
type Tolerance struct {
	Overshoot float64
	Slack     float64
}

// RateOf returns how many attempts a second a node may send to a cold leaf; zero if it
// gets no share. The leaf is named by its incarnation.
func (b Bound) RateOf(self roster.Member, leaf string, roles executors.Roles, members []roster.Member, tolerance Tolerance) float64 {
	rateLimit := b.Rate*tolerance.Overshoot + tolerance.Slack
	sharers, fraction := findSharers(roles, members, b.Shard)
	return computeRate(self.Name, leaf, sharers, plannedShare*fraction*rateLimit)
}

// sharersOf returns the nodes with which this one divides a part of what a cold leaf
// of a service bears.
func findSharers(roles executors.Roles, members []roster.Member, shard bool) (sharers []roster.Member, fraction float64) {
	if !shard || len(roles.Executors) == 0 {
		return members, 1
	}
	if roles.Self == executors.RoleExecutor {
		return roles.Executors, executorShare
	}
	return roles.NonExecutors(members), 1 - executorShare
}

// rateOf returns the share of one node in a rate that some nodes divide at a leaf;
// zero if it gets none. Where they are too many, those first by a hash of both names
// get some, so that the nodes spread over the leaves.
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
