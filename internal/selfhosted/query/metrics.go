package query

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// latencyBuckets are the upper bounds of the latency histogram, in seconds.
var latencyBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .33, .5, 1, 2, 5}

// Metrics counts the queries of callers by their fate.
type Metrics struct {
	queries *prometheus.CounterVec
	latency *prometheus.HistogramVec
}

// NewMetrics registers the counters.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := telemetry.NewFactory(registerer)
	return &Metrics{
		queries: factory.CounterVec("micaplank_executor_queries_total",
			"Queries of callers, by service and fate: the outcome of an answer or the type of a problem.", "service", "fate"),
		latency: factory.HistogramVec("micaplank_executor_query_duration_seconds",
			"Time from the arrival of a query to its answer, of answered queries, by service and class.", latencyBuckets, "service", "class"),
	}
}

// unknownService is the label of services that do not exist.
const unknownService = "unknown"

// observe counts one query. Its names must be those of the catalog: any other
// would become a label of its own.
func (m *Metrics) observe(service, class string, answer *api.QueryResponse, err error, took time.Duration) {
	if err == nil {
		m.queries.WithLabelValues(service, string(answer.Outcome)).Inc()
		m.latency.WithLabelValues(service, class).Observe(took.Seconds())
		return
	}
	var problem *api.Problem
	if !errors.As(err, &problem) {
		problem = api.NewProblem(api.ProblemInternal, "")
	}
	m.queries.WithLabelValues(service, string(problem.Type)).Inc()
}
