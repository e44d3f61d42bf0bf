package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/share"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/settings"
)

// nodesMemory is how long a node that is no longer announced still counts: two windows
// of the budget, so that leases that lapse in an outage free nothing at once. Not
// measured: chosen because a node that is gone may have spent its part in the window.
const nodeRetention = 20 * time.Second

// peerDialTimeout bounds the time to open a connection to another node. It is
// shorter than the second after which an opening packet that was lost is sent again: a
// new connection is quicker. Not measured by itself.
const peerDialTimeout = 500 * time.Millisecond

// forwardConfig returns the policy of a node's Forwarder, all of it from the settings.
func forwardConfig(configured settings.Forward, clock clock.Clock) forward.Config {
	return forward.Config{
		Clock:           clock,
		HedgeShare:      configured.HedgeShare,
		HedgePercentile: configured.HedgePercentile,
		ExtraLoad:       configured.ExtraRatio,
		ClientAllowance: configured.ClientAllowance.Duration(),
	}
}

// dispatchConfig returns the policy of a node's Dispatcher: dispatch.DefaultConfig, and
// here what differs from it. Worth is that of docs/ROUNDS.md, from 0 to 1; two pairs of
// figures are those of two fleets, or of two seeds where that is said.
func dispatchConfig(configured settings.Settings) dispatch.Config {
	config := dispatch.DefaultConfig()
	config.Zone = configured.Zone
	configureReplicaScore(&config)
	configureExtraLoad(&config, configured.Forward)

	// Guards requests of all priorities against waiting in the node while leaves have
	// free slots: worth 0.670 to 0.701 and 0.811 to 0.815.
	config.EqualSlots = true
	// Services do work of different size. Not measured: chosen because one mean over all
	// of them holds for none.
	config.WorkByLeaf = true
	// Gains an answer in time where all leaves of a shard have a short queue. Measured
	// only together with crowdingPrice and the setting hedge_share.
	config.Hedge.Queue = 1
	// Guards the extra load against probes: with 60 nodes, where 0.4 of the leaves are
	// slow, worth 0.6493 to 0.6905 with 2 s in place of 0.5 s; with 7 nodes no
	// difference (0.7863, 0.7850).
	config.Probation.ProbeInterval = share.MinProbeInterval

	// Guards leaves against work for answers that cannot be given: in the second after
	// an outage of the store 51 requests failed after they had run in vain, which are
	// refused at once now.
	config.RequireCoverage = true
	// Gains time for the client to retry: without budget a shard would wait for it until
	// the deadline. Not measured by itself.
	config.EndWithoutBudget = true
	// An answer with enough coverage is given at this share of the objective that is
	// left (0.9 by default): with 0.95 worth 0.7566 over 0.7585; 0.8 and 1.0 were tried
	// and left, too.
	config.Settle.ObjectiveShare = configured.Forward.SettleShare
	return config
}

const (
	// crowdingPrice, in mean attempts, is the price of a leaf whose slots are all in
	// use: it spreads work over two replicas of few slots before queues form. Measured
	// only together with hedge_share and Hedge.Queue.
	crowdingPenalty = 0.6
	// lossPrice is the price of a lost attempt, over the time of one that is answered: a
	// leaf that loses a third of its attempts counts like one that takes almost three
	// times as long. Where half of the leaves lose 0.4 of their answers, worth 0.567 and
	// 0.574 to 0.582 and 0.585 (two seeds); with a price of 12 0.573 and 0.560.
	lossPenalty = 5
	// zoneTie is the relative difference of two scores up to which the zone decides: it
	// keeps bytes within a zone where that costs little time. With 0.05 and 0.4 worth
	// 0.7497 and 0.7638 over 0.7585, before parts were thinned out on their way between
	// zones, and 0.7796 and 0.7811 over 0.7833 since.
	zoneTieTolerance = 0.2
)

// scoreReplicas sets how a leaf is chosen among the replicas of a shard.
func configureReplicaScore(config *dispatch.Config) {
	config.Score.Crowding = crowdingPenalty
	config.Score.LossPrice = lossPenalty
	config.Score.Tie = zoneTieTolerance
}

// earnedShare is the part of the allowed extra load that is spent, so that attempts
// which are counted differently by the back ends stay within it. Not measured: chosen
// because the bound must hold for each service in any window.
const spendableShare = 0.9

// spendExtraLoad sets what pays for hedges, probes and retries, until the nodes that
// share it are counted.
func configureExtraLoad(config *dispatch.Config, configured settings.Forward) {
	// Each service is bounded by itself, and counts what it refuses as load.
	config.BudgetByShard = true
	config.ChargeRefusals = true
	config.Budget.Earned = spendableShare
	config.Budget.Resize(share.Alone(configured.ExtraNodes).Budget(extraLoadSettings(configured)))
	// Retries may overdraw nothing: the bound holds whatever is lost.
	config.Budget.Debt = 0
}
