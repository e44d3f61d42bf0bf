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
	// Policy chooses between replicas. Default replica.ExpectedCompletion.
	Policy replica.Policy
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
	// One means never. Default 0.3.
	Promotion float64
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
	// Backoff is how long a failing leaf is left alone.
	Backoff BackoffConfig
	// InitialLatency is the latency assumed of a class before its first
	// reply. Default 20 ms.
	InitialLatency time.Duration
	// Review is how often waiting attempts are looked at again without an
	// event on their leaves. Default 2 ms.
	Review time.Duration
	// AbortAge is the age from which an attempt that is not wanted any more
	// counts as overdue, over the time expected of an ordinary leaf with its
	// queue. Default 2.
	AbortAge float64
	// MaximumSends is how many attempts one shard of one query may cause.
	// Default 8.
	MaximumSends int
	// MaximumLost is how many attempts of one shard of one query may be lost
	// after they were sent. Default 3.
	MaximumLost int
}

// HedgeConfig is the policy of hedges. The quantile after which a hedge is
// sent belongs to the class.
type HedgeConfig struct {
	// Disabled turns hedging off, whatever the class says.
	Disabled bool
	// Outstanding is the share of a query's shards that may be outstanding
	// when hedges start; one may always be. Default 0.25.
	Outstanding float64
	// Rescue is the share of a query's time after which all that is in flight
	// may be hedged, on the same terms as retries: with half of the time gone,
	// an answer is more likely lost than late. Default 0.5.
	Rescue float64
	// Queue is how many attempts may wait on a leaf that is to get a hedge, as
	// far as is known. Default 0.
	Queue float64
	// Samples is the number of latencies of the class that must be known.
	// Default 50.
	Samples int
}

// ProbationConfig is the policy towards stragglers.
type ProbationConfig struct {
	// Disabled sends no probes.
	Disabled bool
	// Slowness is the ratio to the best replica above which a leaf is in
	// probation: it gets probes. Default 1.5.
	Slowness float64
	// ProbeInterval is the time without an attempt after which a leaf in
	// probation gets a probe. Default 500 ms.
	ProbeInterval time.Duration
}

// BackoffConfig is the policy towards failing leaves.
type BackoffConfig struct {
	// Initial is the pause after the first failure. Default 100 ms.
	Initial time.Duration
	// Maximum bounds the pause, which doubles with each failure in a row.
	// Default 2 s.
	Maximum time.Duration
	// Shed is the pause after a refusal for load that names no time.
	// Default 5 ms.
	Shed time.Duration
	// SnapshotGone is how long a leaf is taken not to hold a snapshot that it
	// refused, against a topology that lags. Default 1 s.
	SnapshotGone time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Policy:    replica.ExpectedCompletion,
		Score:     replica.DefaultScoreConfig(),
		Speed:     replica.DefaultSpeedConfig(),
		Losses:    replica.DefaultLossConfig(),
		Limit:     limit.DefaultConfig(),
		Admission: admission.DefaultConfig(),
		Promotion: 0.3,
		Settle:    coverage.DefaultConfig(),
		Budget:    hedge.DefaultBudgetConfig(),
		Hedge:     HedgeConfig{Outstanding: 0.25, Rescue: 0.5, Samples: 50},
		Probation: ProbationConfig{
			Slowness:      1.5,
			ProbeInterval: 500 * time.Millisecond,
		},
		Backoff: BackoffConfig{
			Initial:      100 * time.Millisecond,
			Maximum:      2 * time.Second,
			Shed:         5 * time.Millisecond,
			SnapshotGone: time.Second,
		},
		InitialLatency: 20 * time.Millisecond,
		Review:         2 * time.Millisecond,
		AbortAge:       2,
		MaximumSends:   8,
		MaximumLost:    3,
	}
}
