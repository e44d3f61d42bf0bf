package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// collector exports the counters of the Dispatcher when the metrics are read. The Dispatcher counts
// itself, since it is pure and has no access to the registry.
type collector struct {
	dispatcher interface {
		Counters() dispatch.Counters
		Load() dispatch.Load
		InFlight() int
	}
	mirror         interface{ Age() time.Duration }
	attempts       *prometheus.Desc
	hedgesWon      *prometheus.Desc
	queriesRunning *prometheus.Desc
	shardsWaiting  *prometheus.Desc
	budgetAttempts *prometheus.Desc
	storeAge       *prometheus.Desc
}

var _ telemetry.TypedCollector = (*collector)(nil)

func newCollector(dispatcher *scatter.QueryRunner[*forward.Request, forward.Part], shared *mirror.Shared) *collector {
	return &collector{
		dispatcher: dispatcher,
		mirror:     shared,
		attempts: prometheus.NewDesc("micaplank_frontend_attempts_total",
			"Attempts sent to leaves, by cause: needed, resend (the previous one did not execute), or extra, which the budget pays for: hedge, probe, retry or restart.",
			[]string{"cause"}, nil),
		hedgesWon: prometheus.NewDesc("micaplank_frontend_hedges_won_total",
			"Shards answered by a hedge or a probe.", nil, nil),
		queriesRunning: prometheus.NewDesc("micaplank_frontend_queries",
			"Queries that run on this node now.", nil, nil),
		shardsWaiting: prometheus.NewDesc("micaplank_frontend_shards_waiting",
			"Shards of queries that wait for a leaf to take them.", nil, nil),
		budgetAttempts: prometheus.NewDesc("micaplank_frontend_budget_attempts",
			"Extra attempts available in the budgets of all shards.", nil, nil),
		storeAge: prometheus.NewDesc("micaplank_frontend_store_age_seconds",
			"Time since the store, or a watcher of it, last answered: the age of configuration and leaves.", nil, nil),
	}
}

// MetricTypes implements telemetry.TypedCollector.
func (c *collector) MetricTypes() map[string]telemetry.MetricType {
	return map[string]telemetry.MetricType{
		"micaplank_frontend_attempts_total":    telemetry.TypeCounter,
		"micaplank_frontend_hedges_won_total":  telemetry.TypeCounter,
		"micaplank_frontend_queries":           telemetry.TypeGauge,
		"micaplank_frontend_shards_waiting":    telemetry.TypeGauge,
		"micaplank_frontend_budget_attempts":   telemetry.TypeGauge,
		"micaplank_frontend_store_age_seconds": telemetry.TypeGauge,
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{c.attempts, c.hedgesWon, c.queriesRunning, c.shardsWaiting, c.budgetAttempts, c.storeAge} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	counters := c.dispatcher.Counters()
	for _, byCause := range counters.ByCause() {
		metrics <- prometheus.MustNewConstMetric(c.attempts, prometheus.CounterValue, float64(byCause.Count), string(byCause.Cause))
	}
	load := c.dispatcher.Load()
	gauge := func(description *prometheus.Desc, value float64) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value)
	}
	metrics <- prometheus.MustNewConstMetric(c.hedgesWon, prometheus.CounterValue, float64(counters.HedgesWon))
	gauge(c.queriesRunning, float64(c.dispatcher.InFlight()))
	gauge(c.shardsWaiting, float64(load.WaitingShards))
	gauge(c.budgetAttempts, load.Budget)
	gauge(c.storeAge, c.mirror.Age().Seconds())
}
