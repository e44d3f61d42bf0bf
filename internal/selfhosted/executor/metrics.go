package executor

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
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
	metrics := &Metrics{
		queries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_executor_queries_total",
			Help: "Queries of callers, by service and fate: the outcome of an answer or the type of a problem.",
		}, []string{"service", "fate"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "micaplank_executor_query_duration_seconds",
			Help:    "Time from the arrival of a query to its answer, of answered queries, by service and class.",
			Buckets: latencyBuckets,
		}, []string{"service", "class"}),
	}
	registerer.MustRegister(metrics.queries, metrics.latency)
	return metrics
}

// unknownService is the label of services that do not exist.
const unknownService = "unknown"

// observe counts one query. Names that callers made up must not be handed in.
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
