package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/scatter"
)

// rolloutMetrics are those of roll-outs.
type rolloutMetrics struct {
	open     prometheus.Gauge
	attempts *prometheus.CounterVec
	steps    *prometheus.CounterVec
	reports  *prometheus.CounterVec
	services routeLabels
}

func newRolloutMetrics(registerer prometheus.Registerer) *rolloutMetrics {
	created := &rolloutMetrics{
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_rollout_open", Help: "Roll-outs with steps left to take."}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_rollout_attempts_total",
			Help: "Attempts of this node at services that are rolled out, by service (64 at most, then other), version (target or control) and end.",
		}, []string{"service", "version", "end"}),
		steps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_rollout_steps_total",
			Help: "Steps of roll-outs that this node decided, by phase and result: written, overtaken or failed.",
		}, []string{"phase", "result"}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_rollout_reports_total",
			Help: "Reports of this node to the one that decides, by result: answered, passed (it cannot write to the store) or failed.",
		}, []string{"result"}),
		services: make(routeLabels),
	}
	registerer.MustRegister(created.open, created.attempts, created.steps, created.reports)
	return created
}

// The values of the label version.
const (
	labelTarget  = "target"
	labelControl = "control"
)

func (m *rolloutMetrics) count(subject rollout.Subject, attempt *scatter.AttemptTrace) {
	version := labelControl
	if subject.Target {
		version = labelTarget
	}
	m.attempts.WithLabelValues(m.services.of(subject.Service), version, string(attempt.End)).Inc()
}

// The values of the label result.
const (
	resultWritten   = "written"
	resultOvertaken = "overtaken"
	resultFailed    = "failed"
	resultAnswered  = "answered"
	resultPassed    = "passed"
)
