package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/subset"
	"github.com/micaplank/micaplank/internal/settings"
)

// nodesMemory is how long a node that is no longer announced still counts: two
// windows of the budget, so that a lapse of leases frees nothing at once.
const nodesMemory = 20 * time.Second

// peerDialTimeout bounds the time to open a connection to another node. It is
// shorter than the second after which an opening packet that was lost is sent
// again: to begin anew is quicker.
const peerDialTimeout = 500 * time.Millisecond

func forwardConfig(from settings.Forward, clock clock.Clock) forward.Config {
	return forward.Config{
		Clock:           clock,
		HedgeShare:      from.HedgeShare,
		HedgePercentile: from.HedgePercentile,
		ExtraLoad:       from.ExtraRatio,
		ClientAllowance: from.ClientAllowance.Duration(),
	}
}

// earnedShare is the part of the allowed extra load that is spent, so that
// attempts which are counted differently by the back ends stay within it.
const earnedShare = 0.9

func dispatchConfig(from settings.Settings) dispatch.Config {
	config := dispatch.DefaultConfig()
	config.Zone = from.Zone
	config.BudgetByShard = true
	config.ChargeRefusals = true
	config.WorkByLeaf = true
	config.EqualSlots = true
	config.Score.Tie = zoneTie
	config.Score.LossPrice = lossPrice
	config.Hedge.Queue = 1
	config.Probation.ProbeInterval = minProbeInterval
	config.Score.Crowding = crowdingPrice
	config.EndWithoutBudget = true
	config.RequireCoverage = true
	config.Settle.ObjectiveShare = from.Forward.SettleShare
	config.Budget.Earned = earnedShare
	assumed := share{census: subset.Census{All: from.Forward.ExtraNodes}, part: 1, alone: true}
	config.Budget.Resize(assumed.budget(from.Forward))
	config.Budget.Debt = 0
	return config
}

const (
	// crowdingPrice spreads work over two replicas of few slots before queues
	// form.
	crowdingPrice = 0.6
	// lossPrice makes a leaf that loses a third of its attempts count like one that
	// takes almost three times as long.
	lossPrice = 5
	// zoneTie is the difference of two scores up to which the zone decides: it
	// keeps bytes within a zone where that costs little time.
	zoneTie = 0.2
)
