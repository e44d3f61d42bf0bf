package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/admission"
	"github.com/micaplank/micaplank/internal/decide/coverage"
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/limit"
	"github.com/micaplank/micaplank/internal/decide/replica"
)

// Config holds the policies of a Dispatcher. DefaultConfig returns the
// defaults; the zero value of a field is not its default.
type Config struct {
	// Zone is the zone of the node; it breaks ties between replicas.
	Zone string
	// Score tunes the choice between replicas.
	Score replica.ScoreConfig
	// Speed is how the slowness of a leaf is estimated.
	Speed replica.SpeedConfig
	// Losses is how the share of attempts that a leaf loses is estimated.
	Losses replica.LossConfig
	// Limit bounds the attempts in flight on each leaf.
	Limit limit.Config
	// Admission decides which queries are taken.
	Admission admission.Config
	// Promotion is the share of its time after which a query that still waits
	// becomes as urgent as the most urgent, because it was promised to run.
	// One means never.
	PromoteAfter float64
	// Settle decides when partial coverage is given.
	Settle coverage.Config
	// Budget pays for hedges, probes and retries.
	Budget hedge.BudgetConfig
	// BudgetByShard gives each shard a budget of its own, where the shards are
	// back ends that are metered one by one.
	BudgetByShard bool
	// ChargeRefusals books an attempt that follows a refusal as a retry, where
	// the back ends count what they refused as load.
	ChargeRefusals bool
	// EndWithoutBudget gives a shard up that needs a retry which the budget
	// forbids, in place of letting it wait for the budget.
	EndWithoutBudget bool
	// RequireCoverage ends a query as soon as its minimum coverage cannot be
	// reached, where less than that is no answer.
	RequireCoverage bool
	// EqualSlots lets work of any priority fill the limit of a leaf. Without it,
	// work that is not the most urgent waits for slots that are thought to be
	// free of the work of other nodes.
	EqualSlots bool
	// WorkByLeaf keeps the mean work for each leaf, where the leaves of one
	// Dispatcher do work of different size.
	WorkByLeaf bool
	// Hedge is when a second attempt is sent.
	Hedge HedgeConfig
	// Probation is how stragglers are kept out and let back.
	Probation ProbationConfig
	// Backoff is how long a failing leaf is held off.
	Backoff BackoffConfig
	// InitialLatency is the latency assumed of a class before its first
	// reply.
	InitialLatency time.Duration
	// Review is how often waiting attempts are looked at again without an
	// event on their leaves.
	RescanInterval time.Duration
	// AbortAge is the age from which an attempt that is not wanted any more
	// counts as overdue, over the time expected of an ordinary leaf with its
	// queue.
	AbortAge float64
	// MaximumSends is how many attempts one shard of one query may cause.
	MaximumAttempts int
	// MaximumLost is how many attempts of one shard of one query may be lost
	// after they were sent.
	MaximumLostAttempts int
}

// HedgeConfig is the policy of hedges. The quantile after which a hedge is
// sent belongs to the class.
type HedgeConfig struct {
	// Outstanding is the share of a query's shards that may be outstanding
	// when hedges start; one may always be.
	OutstandingShare float64
	// Rescue is the share of a query's time after which all that is in flight
	// may be hedged, on the same terms as retries: with half of the time gone,
	// an answer is more likely lost than late.
	ChargeAsRetryAfter float64
	// Queue is how many attempts may wait on a leaf that is to get a hedge, as
	// far as is known.
	Queue float64
	// Samples is the number of latencies of the class that must be known.
	MinimumSamples int
}

// ProbationConfig is the policy towards stragglers.
type ProbationConfig struct {
	// Slowness is the ratio to the best replica above which a leaf is in
	// probation: it gets probes.
	SlownessThreshold float64
	// ProbeInterval is the time without an attempt after which a leaf in
	// probation gets a probe.
	ProbeInterval time.Duration
}

// BackoffConfig is the policy towards failing leaves.
type BackoffConfig struct {
	// Initial is the pause after the first failure.
	Initial time.Duration
	// Maximum bounds the pause, which doubles with each failure in a row.
	Maximum time.Duration
	// Shed is the pause after a refusal for load that names no time.
	ShedPause time.Duration
	// SnapshotGone is how long a leaf counts as not holding a snapshot that it
	// refused, since the topology may lag.
	MissingHoldingTTL time.Duration
}

// DefaultConfig returns the defaults, with the reason of each.
func DefaultConfig() Config {
	return Config{
		Score:     replica.DefaultScoreConfig(),
		Speed:     replica.DefaultSpeedConfig(),
		Losses:    replica.DefaultLossConfig(),
		Limit:     limit.DefaultConfig(),
		Admission: admission.DefaultConfig(),
		// Simulated at 150 % load: without a promotion, queries were refused at their
		// deadlines in the services with two and three slots a leaf. Other shares were not
		// compared.
		PromoteAfter: 0.3,
		Settle:       coverage.DefaultConfig(),
		Budget:       hedge.DefaultBudgetConfig(),
		Hedge:        defaultHedgeConfig(),
		Probation:    defaultProbationConfig(),
		Backoff:      defaultBackoffConfig(),
		// Not measured: chosen as the order of a short query on an idle leaf; the first
		// reply replaces it.
		InitialLatency: 20 * time.Millisecond,
		// Not measured: chosen below the shortest service times, so that a slot that got
		// free by time alone is not idle for long.
		RescanInterval: 2 * time.Millisecond,
		// Paired trials (five days, three seeds), worth: 0.7824 when no attempt counted as
		// overdue, 0.7871 with 2, 0.7832 with 4.
		AbortAge: 2,
		// Not measured: chosen to bound refusals in a row, which cost nothing but time.
		MaximumAttempts: 8,
		// Not measured: chosen to bound what one shard that keeps losing its attempts costs.
		MaximumLostAttempts: 3,
	}
}

func defaultHedgeConfig() HedgeConfig {
	return HedgeConfig{
		// Trials on two large fleets, one seed, worth with 0.25 and with 0.5: 0.582 and 0.530,
		// 0.464 and 0.437; with fewer probes 0.599 and 0.621, 0.514 and 0.503.
		OutstandingShare: 0.25,
		// Simulated, 60 % load, one leaf lost: 0.9948 and 0.9887 of the urgent queries whole
		// without a rescue, 1.0000 with it. Other shares were not compared: with half of the
		// time gone, an answer is more likely lost than late.
		ChargeAsRetryAfter: 0.5,
		// Not measured by itself: chosen so that a hedge starts at once.
		Queue: 0,
		// Not measured: chosen so that a quantile of 0.95 rests on more than two samples.
		MinimumSamples: 50,
	}
}

func defaultProbationConfig() ProbationConfig {
	return ProbationConfig{
		// Not measured: chosen just above the noise of ScoreConfig.Noise.
		SlownessThreshold: 1.5,
		// Simulated with one leaf slow for 15 s at 40 % load: 0.71 of its fair share over the
		// run with probes, 0.58 without. Other intervals were compared for nodes that set
		// their own.
		ProbeInterval: 500 * time.Millisecond,
	}
}

func defaultBackoffConfig() BackoffConfig {
	return BackoffConfig{
		// Not measured: chosen as a few attempts long.
		Initial: 100 * time.Millisecond,
		// Not measured: chosen as the longest time for which a leaf that works again may go
		// unused; it also bounds what a leaf may ask for.
		Maximum: 2 * time.Second,
		// Not measured: chosen as about one attempt, after which a slot may be free.
		ShedPause: 5 * time.Millisecond,
		// Not measured: chosen above the time by which a topology lags behind a leaf.
		MissingHoldingTTL: time.Second,
	}
}
