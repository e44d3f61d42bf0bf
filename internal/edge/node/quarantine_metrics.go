package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// quarantineMetrics holds the metrics of requests that crash leaves.
type quarantineMetrics struct {
	known   prometheus.Gauge
	held    prometheus.Gauge
	reports *prometheus.CounterVec
	trials  *prometheus.CounterVec
	refused *prometheus.CounterVec
	writes  *prometheus.CounterVec
	// voidLosses counts lost connections that do not count as crashes.
	voidLosses prometheus.Counter
	// survivors counts leaves that turned out to be alive after they had been reported as crashed.
	survivors prometheus.Counter
}

func newQuarantineMetrics(registerer prometheus.Registerer) *quarantineMetrics {
	factory := telemetry.NewFactory(registerer)
	return &quarantineMetrics{
		known: factory.Gauge("micaplank_quarantine_known",
			"Requests under which leaves were lost and that were not answered, including those that are held."),
		held: factory.Gauge("micaplank_quarantine_held",
			"Requests that are sent to no leaf, because leaves crashed in their trials."),
		reports: factory.CounterVec("micaplank_quarantine_reports_total",
			"Requests that ended without an answer after leaves crashed under them, by result: kept, or left (nothing new, or too many at once).",
			"result"),
		trials: factory.CounterVec("micaplank_quarantine_trials_total",
			"Requests tried on a single leaf, by result: answered, ended (the leaf crashed) or open.",
			"result"),
		refused: factory.CounterVec("micaplank_quarantine_refused_total",
			"Requests refused without being sent to a leaf, by reason: quarantined (held) or trial (one is running or has just ended).",
			"reason"),
		writes: factory.CounterVec("micaplank_quarantine_writes_total",
			"Changes of quarantine records in the store, by result: written, overtaken or failed.",
			"result"),
		voidLosses: factory.Counter("micaplank_quarantine_void_losses_total",
			"Connections that leaves closed or reset before the first byte of an answer, and that do not count as a crash: the leaf had been lost before the attempt was sent, and had not answered since."),
		survivors: factory.Counter("micaplank_quarantine_survivors_total",
			"Leaves that were seen alive after they had been reported as crashed under a request."),
	}
}

// countReport counts a report by whether it added anything to the table.
func (m *quarantineMetrics) countReport(added bool) {
	if added {
		m.reports.WithLabelValues("kept").Inc()
		return
	}
	m.reports.WithLabelValues("left").Inc()
}

// trialResult returns the label for the end of a trial.
func trialResult(crashes []quarantine.Crash, answered bool) string {
	switch {
	case answered:
		return resultAnswered
	case len(crashes) > 0:
		return "ended"
	default:
		return "open"
	}
}
