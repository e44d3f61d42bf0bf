package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
)

// quarantineMetrics are those of requests under which leaves end.
type quarantineMetrics struct {
	known   prometheus.Gauge
	held    prometheus.Gauge
	reports *prometheus.CounterVec
	trials  *prometheus.CounterVec
	refused *prometheus.CounterVec
	writes  *prometheus.CounterVec
}

func newQuarantineMetrics(registerer prometheus.Registerer) *quarantineMetrics {
	created := &quarantineMetrics{
		known: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_quarantine_known", Help: "Requests that are known to have lost leaves without an answer, those that are held among them."}),
		held: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_quarantine_held", Help: "Requests that get no leaf, since their trials ended with their leaves."}),
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_quarantine_reports_total",
			Help: "Requests that ended without an answer and with leaves that ended under them, by result: kept, or left (nothing new, or too many at once).",
		}, []string{"result"}),
		trials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_quarantine_trials_total",
			Help: "Requests tried on one leaf alone, by result: answered, ended (the leaf did) or open.",
		}, []string{"result"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_quarantine_refused_total",
			Help: "Requests refused without a leaf, by reason: quarantined (held) or trial (one is under way, or was a moment ago).",
		}, []string{"reason"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_quarantine_writes_total",
			Help: "Changes of records in the store, by result: written, overtaken or failed.",
		}, []string{"result"}),
	}
	registerer.MustRegister(created.known, created.held, created.reports, created.trials, created.refused, created.writes)
	return created
}

// reported counts a report.
func (m *quarantineMetrics) reported(kept bool) {
	if kept {
		m.reports.WithLabelValues("kept").Inc()
		return
	}
	m.reports.WithLabelValues("left").Inc()
}

// trialResult says how a trial ended.
func trialResult(ended []quarantine.Crash, answered bool) string {
	switch {
	case answered:
		return resultAnswered
	case len(ended) > 0:
		return "ended"
	default:
		return "open"
	}
}
