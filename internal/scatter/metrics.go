package scatter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// Metrics counts refused and failed attempts. All Conns of a node share one Metrics.
type Metrics struct {
	refusals *prometheus.CounterVec
	failures *prometheus.CounterVec
	closed   prometheus.Counter
}

// NewMetrics registers the counters.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := telemetry.NewFactory(registerer)
	return &Metrics{
		refusals: factory.CounterVec("micaplank_scatter_refusals_total",
			"Attempts that a leaf refused without running them, by reason.", "reason"),
		failures: factory.CounterVec("micaplank_scatter_failures_total",
			"Attempts that ended without a reply, by kind: aborted, withdrawn (not sent, as their leaf, their query or the node ended while they waited for a connection), not_sent or lost.", "kind"),
		closed: factory.Counter("micaplank_scatter_closed_total",
			"Attempts whose leaf closed or reset the connection before the first byte of its answer, as when its process ends. They are included in the failures."),
	}
}

func (m *Metrics) countRefusal(reason leaf.Refusal) {
	m.refusals.WithLabelValues(string(reason)).Inc()
}

func (m *Metrics) countFailure(failure dispatch.Failure) {
	if failure.ConnectionClosed {
		m.closed.Inc()
	}
	switch {
	case failure.Aborted:
		m.failures.WithLabelValues("aborted").Inc()
	case failure.Withdrawn:
		m.failures.WithLabelValues("withdrawn").Inc()
	case !failure.Sent:
		m.failures.WithLabelValues("not_sent").Inc()
	default:
		m.failures.WithLabelValues("lost").Inc()
	}
}
