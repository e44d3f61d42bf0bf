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

// Metrics counts callers' queries by result and records their latency.
type Metrics struct {
	queries *prometheus.CounterVec
	latency *prometheus.HistogramVec
}

// NewMetrics registers the metrics of callers' queries.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := telemetry.NewFactory(registerer)
	return &Metrics{
		queries: factory.CounterVec("micaplank_executor_queries_total",
			"Callers' queries by service and fate, which is the outcome of a response or the type of a problem.", "service", "fate"),
		latency: factory.HistogramVec("micaplank_executor_query_duration_seconds",
			"Time from the arrival of a query to its response, for queries without a problem, by service and class.", latencyBuckets, "service", "class"),
	}
}

// unknownServiceLabel is the label value for services that do not exist.
const unknownServiceLabel = "unknown"

// observe counts one query. The service and class must come from the catalog: each
// name that a caller invents would add a time series.
func (m *Metrics) observe(service, class string, response *api.QueryResponse, err error, duration time.Duration) {
	if err == nil {
		m.queries.WithLabelValues(service, string(response.Outcome)).Inc()
		m.latency.WithLabelValues(service, class).Observe(duration.Seconds())
		return
	}
	var problem *api.Problem
	if !errors.As(err, &problem) {
		problem = api.NewProblem(api.ProblemInternal, "")
	}
	m.queries.WithLabelValues(service, string(problem.Type)).Inc()
}
