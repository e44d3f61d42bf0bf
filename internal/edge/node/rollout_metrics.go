package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// rolloutMetrics holds the metrics of rollouts.
type rolloutMetrics struct {
	open          prometheus.Gauge
	attempts      *prometheus.CounterVec
	steps         *prometheus.CounterVec
	reports       *prometheus.CounterVec
	serviceLabels labelSet
}

func newRolloutMetrics(registerer prometheus.Registerer) *rolloutMetrics {
	factory := telemetry.NewFactory(registerer)
	return &rolloutMetrics{
		open: factory.Gauge("micaplank_rollout_open",
			"Rollouts with steps left to take."),
		attempts: factory.CounterVec("micaplank_rollout_attempts_total",
			"Attempts of this node at services that are being rolled out, by service (64 at most, then other), version (target or control) and end.",
			"service", "version", "end"),
		steps: factory.CounterVec("micaplank_rollout_steps_total",
			"Steps of rollouts that this node decided, by phase and result: written, overtaken or failed.",
			"phase", "result"),
		reports: factory.CounterVec("micaplank_rollout_reports_total",
			"Reports of this node to the deciding node, by result: answered, passed (it cannot write to the store) or failed.",
			"result"),
		serviceLabels: make(labelSet),
	}
}

// These are the values of the label version.
const (
	labelTarget  = "target"
	labelControl = "control"
)

func (m *rolloutMetrics) count(subject rollout.Subject, attempt *scatter.AttemptTrace) {
	version := labelControl
	if subject.Target {
		version = labelTarget
	}
	m.attempts.WithLabelValues(m.serviceLabels.bound(subject.Service), version, string(attempt.End)).Inc()
}
