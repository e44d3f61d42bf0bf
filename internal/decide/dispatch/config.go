package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/admission"
	"github.com/micaplank/micaplank/internal/decide/coverage"
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/limit"
	"github.com/micaplank/micaplank/internal/decide/replica"
)

// Config holds the policies of a Dispatcher. DefaultConfig returns the defaults; a zero field does
// not select its default.
type Config struct {
	// Zone is the zone of the node and breaks ties between replicas.
	Zone string
	// Score is the policy of the choice between replicas.
	Score replica.ScoreConfig
	// Speed configures the estimate of a leaf's slowness.
	Speed replica.SlownessConfig
	// Losses configures the estimate of the share of attempts that a leaf loses.
	Losses replica.LossConfig
	// Limit bounds the attempts in flight on each leaf.
	Limit limit.Config
	// Admission decides which queries are admitted.
	Admission admission.Config
	// PromoteAfter is the share of a query's time after which a query that still waits becomes as
	// urgent as the most urgent class. An admitted query must not starve. One disables the
	// promotion.
	PromoteAfter float64
	// Settle decides when a query ends with partial coverage.
	Settle coverage.Config
	// Budget pays for hedges, probes and retries.
	Budget hedge.BudgetConfig
	// BudgetByShard gives each shard its own budget, for back ends with separate quotas.
	BudgetByShard bool
	// ChargeRefusals charges an attempt that follows a refusal as a retry, for back ends that count
	// refused requests as load.
	ChargeRefusals bool
	// EndWithoutBudget gives up a shard whose retry the budget does not pay for, instead of parking
	// it until the budget allows the retry.
	EndWithoutBudget bool
	// RequireCoverage ends a query as soon as its minimum coverage is unattainable, for callers to
	// whom a smaller coverage is no answer.
	RequireCoverage bool
	// EqualSlots lets work of any priority fill the limit of a leaf. If it is not set, work of
	// lower priority waits for slots that the work of other nodes is estimated to leave free.
	EqualSlots bool
	// WorkByLeaf keeps the mean work for each leaf, for services whose leaves do work of different
	// sizes.
	WorkByLeaf bool
	// Hedge is the policy of second attempts in parallel with late ones.
	Hedge HedgeConfig
	// Probation is the policy towards stragglers.
	Probation ProbationConfig
	// Backoff is the policy towards failing leaves.
	Backoff BackoffConfig
	// InitialLatency is the latency assumed of a class before its first reply.
	InitialLatency time.Duration
	// RescanInterval is the interval at which waiting shards are retried without an event on their
	// leaves.
	RescanInterval time.Duration
	// AbortAge is the age, relative to the time expected of an ordinary leaf with the same queue,
	// from which an attempt that is no longer wanted counts as overdue.
	AbortAge float64
	// MaximumAttempts bounds the attempts for each shard of a query.
	MaximumAttempts int
	// MaximumLostAttempts bounds the attempts for each shard of a query that may be lost after they
	// were sent.
	MaximumLostAttempts int
}

// HedgeConfig is the policy of hedges. The latency quantile that defines the hedge delay belongs to
// the class.
type HedgeConfig struct {
	// OutstandingShare is the maximum share of a query's shards that may be outstanding when
	// hedging starts. One outstanding shard never prevents hedging.
	OutstandingShare float64
	// ChargeAsRetryAfter is the share of a query's time after which every shard with only one
	// attempt in flight may be hedged, however many shards are outstanding, and hedges are charged
	// to the budget as retries.
	ChargeAsRetryAfter float64
	// MaximumQueue is the maximum estimated queue length on a leaf that gets a hedge.
	MaximumQueue float64
	// MinimumSamples is the number of latencies of the class required for a hedge delay from the
	// quantile.
	MinimumSamples int
}

// ProbationConfig is the policy towards stragglers.
type ProbationConfig struct {
	// SlownessThreshold is the ratio to the fastest replica above which a leaf is in probation and
	// gets probes.
	SlownessThreshold float64
	// ProbeInterval is the time without an attempt after which a leaf in probation gets a probe.
	ProbeInterval time.Duration
}

// BackoffConfig is the policy towards failing leaves.
type BackoffConfig struct {
	// Initial is the pause after the first failure.
	Initial time.Duration
	// Maximum bounds the pause, which doubles with each consecutive failure, and the pause that a
	// leaf may request.
	Maximum time.Duration
	// ShedPause is the pause after a refusal because of load that requests no pause.
	ShedPause time.Duration
	// MissingHoldingTTL is the time during which a leaf that refused a snapshot or shard counts as
	// not holding it, because the topology may lag behind the leaf.
	MissingHoldingTTL time.Duration
}

// DefaultConfig returns the default policies.
func DefaultConfig() Config {
	return Config{
		Score:     replica.DefaultScoreConfig(),
		Speed:     replica.DefaultSlownessConfig(),
		Losses:    replica.DefaultLossConfig(),
		Limit:     limit.DefaultConfig(),
		Admission: admission.DefaultConfig(),
		// Without a promotion, queries at 150 % load are refused at their deadlines in services
		// with two or three slots per leaf.
		PromoteAfter: 0.3,
		Settle:       coverage.DefaultConfig(),
		Budget:       hedge.DefaultBudgetConfig(),
		Hedge:        defaultHedgeConfig(),
		Probation:    defaultProbationConfig(),
		Backoff:      defaultBackoffConfig(),
		// This is about the latency of a short query on an idle leaf. The first reply replaces it.
		InitialLatency: 20 * time.Millisecond,
		// The interval is shorter than the shortest service times, so that a slot that becomes free
		// without an event does not stay idle for long.
		RescanInterval: 2 * time.Millisecond,
		// Answers are worth less if no attempt counts as overdue, and also with a ratio of 4.
		AbortAge: 2,
		// This bounds consecutive refusals, which cost only time.
		MaximumAttempts: 8,
		// This bounds the cost of a shard that keeps losing its attempts.
		MaximumLostAttempts: 3,
	}
}

// defaultHedgeConfig returns the default policy of hedges.
func defaultHedgeConfig() HedgeConfig {
	return HedgeConfig{
		// With 0.5, the answers on large fleets are usually worth less.
		OutstandingShare: 0.25,
		// Once half of the time has passed, an outstanding answer is more likely lost than late.
		// Without this rule, the loss of a leaf at 60 % load leaves 0.5 to 1.1 % of the urgent
		// queries without a complete answer.
		ChargeAsRetryAfter: 0.5,
		// A hedge must start immediately.
		MaximumQueue: 0,
		// With 50 samples, a quantile of 0.95 rests on more than two of them.
		MinimumSamples: 50,
	}
}

// defaultProbationConfig returns the default policy towards stragglers.
func defaultProbationConfig() ProbationConfig {
	return ProbationConfig{
		// The threshold is just above the noise of the estimate (ScoreConfig.SlownessTolerance).
		SlownessThreshold: 1.5,
		// With probes, a leaf that is slow for 15 s at 40 % load gets 0.71 of its fair share of the
		// load, without probes 0.58.
		ProbeInterval: 500 * time.Millisecond,
	}
}

// defaultBackoffConfig returns the default policy towards failing leaves.
func defaultBackoffConfig() BackoffConfig {
	return BackoffConfig{
		// The pause is a few times as long as an attempt.
		Initial: 100 * time.Millisecond,
		// This is the longest time that a recovered leaf may stay unused.
		Maximum: 2 * time.Second,
		// The pause is about as long as an attempt, after which a slot may be free.
		ShedPause: 5 * time.Millisecond,
		// The topology lags behind a leaf by less than this time.
		MissingHoldingTTL: time.Second,
	}
}
