package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/share"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/settings"
)

// nodeRetention is how long a node still counts after its announcement has vanished: two windows of
// the budget. A node that is gone may have spent its part within the window, and leases that expire
// in an outage of the store must not free budget immediately.
const nodeRetention = 20 * time.Second

// peerDialTimeout bounds the time to open a connection to another node. It is shorter than the
// second after which TCP retransmits a lost SYN, since a new connection is quicker than that.
const peerDialTimeout = 500 * time.Millisecond

// forwardConfig returns the policy of a node's Forwarder from the settings.
func forwardConfig(configured settings.Forward, clock clock.Clock) forward.Config {
	return forward.Config{
		Clock:           clock,
		HedgeShare:      configured.HedgeShare,
		HedgePercentile: configured.HedgePercentile,
		ExtraLoad:       configured.ExtraRatio,
		ClientAllowance: configured.ClientAllowance.Duration(),
	}
}

// dispatchConfig returns the policy of a node's Dispatcher: dispatch.DefaultConfig with the changes
// below.
func dispatchConfig(configured settings.Settings) dispatch.Config {
	config := dispatch.DefaultConfig()
	config.Zone = configured.Zone
	configureReplicaScore(&config)
	configureExtraLoad(&config, configured.Forward)

	// Work of any priority may fill a leaf, so that requests do not wait in the node while leaves
	// have free slots.
	config.EqualSlots = true
	// Services do work of different size, so that one mean over all of them fits none.
	config.WorkByLeaf = true
	// A hedge may wait behind one other attempt. This yields answers in time where all leaves of a
	// shard have a short queue, and depends on crowdingPenalty and the setting hedge_share.
	config.Hedge.MaximumQueue = 1
	// Probes at the default interval of 0.5 s use up the extra load of a fleet of 60 nodes when 0.4
	// of the leaves are slow, and fewer requests are answered in time. With 7 nodes the interval
	// makes no difference.
	config.Probation.ProbeInterval = share.MinNodeProbeInterval

	// Requests whose coverage cannot be reached are refused immediately. Otherwise leaves work for
	// answers that cannot be given: in the second after an outage of the store, 51 requests failed
	// after they had run.
	config.RequireCoverage = true
	// A shard that needs a retry without budget fails immediately, which leaves the client time to
	// retry. Otherwise the shard would wait for budget until the deadline.
	config.EndWithoutBudget = true
	// An answer with enough coverage is returned at this share of the time that is left until the
	// objective. The default is 0.9.
	config.Settle.ObjectiveShare = configured.Forward.SettleShare
	return config
}

const (
	// crowdingPenalty, in mean attempts, is added to the score of a leaf whose slots are all in
	// use. It spreads work over two replicas with few slots before queues form, and works together
	// with the setting hedge_share and Hedge.Queue.
	crowdingPenalty = 0.6
	// lossPenalty weighs a lost attempt against the time of an answered one: a leaf that loses a
	// third of its attempts counts like one that takes almost three times as long.
	lossPenalty = 5
	// zoneTieTolerance is the relative difference of two scores up to which the zone decides. It
	// keeps bytes within a zone where that costs little time.
	zoneTieTolerance = 0.2
)

// configureReplicaScore sets how a leaf is chosen among the replicas of a shard.
func configureReplicaScore(config *dispatch.Config) {
	config.Score.UtilizationCost = crowdingPenalty
	config.Score.LossCost = lossPenalty
	config.Score.TieMargin = zoneTieTolerance
}

// spendableShare is the part of the allowed extra load that a node spends. Back ends may count
// attempts differently, and the bound must hold for each service in any window.
const spendableShare = 0.9

// configureExtraLoad sets the budget that pays for hedges, probes and retries. The budget is that
// of a single node; each publication resizes it by the number of nodes.
func configureExtraLoad(config *dispatch.Config, configured settings.Forward) {
	// Each service has its own bound, and counts refused attempts as load.
	config.BudgetByShard = true
	config.ChargeRefusals = true
	config.Budget.EarnedShare = spendableShare
	config.Budget.Resize(share.Standalone(configured.ExtraNodes).Budget(extraLoadSettings(configured)))
	// The bound holds whatever is lost, so retries may not overdraw the budget.
	config.Budget.MaxDebt = 0
}
