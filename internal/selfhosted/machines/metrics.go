package machines

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/telemetry"
)

type metrics struct {
	polls *prometheus.CounterVec
}

// newMetrics creates the metrics and registers them unless the registerer is nil.
func newMetrics(poller *Poller, registerer prometheus.Registerer) *metrics {
	factory := telemetry.NewFactory(registerer)
	factory.GaugeFunc("micaplank_machines_list_age_seconds",
		"Time since the last successful read of the machine list was requested; 0 before the first.",
		func() float64 { return poller.Last().Age.Seconds() })
	return &metrics{polls: factory.CounterVec("micaplank_machines_polls_total",
		"Reads of the platform's machine list, by result (ok or failed).", "result")}
}

func (m *metrics) count(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.polls.WithLabelValues(result).Inc()
}
