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

// collector shows, when the metrics are read, what the Dispatcher knows: it is
// pure and keeps its own counts.
type collector struct {
	dispatcher interface {
		Counters() dispatch.Counters
		Load() dispatch.Load
		InFlight() int
	}
	mirror   interface{ Age() time.Duration }
	attempts *prometheus.Desc
	won      *prometheus.Desc
	queries  *prometheus.Desc
	waiting  *prometheus.Desc
	budget   *prometheus.Desc
	age      *prometheus.Desc
}

var _ telemetry.TypedCollector = (*collector)(nil)

func newCollector(dispatcher *scatter.Conn[*forward.Request, forward.Part], copied *mirror.Shared) *collector {
	return &collector{
		dispatcher: dispatcher,
		mirror:     copied,
		attempts: prometheus.NewDesc("micaplank_frontend_attempts_total",
			"Attempts sent to leaves, by cause: needed, resend (the former did not execute), or extra, which the budget pays for: hedge, probe, retry or restart.",
			[]string{"cause"}, nil),
		won: prometheus.NewDesc("micaplank_frontend_hedges_won_total",
			"Shards answered by a hedge or a probe.", nil, nil),
		queries: prometheus.NewDesc("micaplank_frontend_queries",
			"Queries that run here and have not ended.", nil, nil),
		waiting: prometheus.NewDesc("micaplank_frontend_shards_waiting",
			"Shards of queries that wait for a leaf to take them.", nil, nil),
		budget: prometheus.NewDesc("micaplank_frontend_budget_attempts",
			"Extra attempts that the budgets of all shards hold together.", nil, nil),
		age: prometheus.NewDesc("micaplank_frontend_store_age_seconds",
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
	for _, description := range []*prometheus.Desc{c.attempts, c.won, c.queries, c.waiting, c.budget, c.age} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	counters := c.dispatcher.Counters()
	for _, sent := range counters.ByCause() {
		metrics <- prometheus.MustNewConstMetric(c.attempts, prometheus.CounterValue, float64(sent.Count), string(sent.Cause))
	}
	load := c.dispatcher.Load()
	gauge := func(of *prometheus.Desc, value float64) {
		metrics <- prometheus.MustNewConstMetric(of, prometheus.GaugeValue, value)
	}
	metrics <- prometheus.MustNewConstMetric(c.won, prometheus.CounterValue, float64(counters.HedgesWon))
	gauge(c.queries, float64(c.dispatcher.InFlight()))
	gauge(c.waiting, float64(load.Waiting))
	gauge(c.budget, load.Budget)
	gauge(c.age, c.mirror.Age().Seconds())
}
