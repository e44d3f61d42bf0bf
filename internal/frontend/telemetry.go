package frontend

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/forward"
)

// metrics are those of a Frontend.
type metrics struct {
	requests        *prometheus.HistogramVec
	configVersion   prometheus.Gauge
	leaves          prometheus.Gauge
	configsRejected prometheus.Counter
	leavesRejected  prometheus.Counter
	nodes           prometheus.Gauge
	storeUp         prometheus.Gauge
}

// latencyBuckets are the bounds in seconds.
var latencyBuckets = []float64{.005, .01, .02, .04, .08, .15, .3, .6, 1, 2, 4, 8}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "micaplank_frontend_request_seconds",
			Help:    "Time from reading a request until its final answer, by fate.",
			Buckets: latencyBuckets,
		}, []string{"fate"}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_frontend_config_version", Help: "Version of the declared configuration in force."}),
		leaves: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_frontend_leaves", Help: "Leaves that are known."}),
		configsRejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_frontend_configs_rejected_total", Help: "Configurations that could not be used; the last good one stayed in force."}),
		leavesRejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_frontend_leaves_rejected_total", Help: "Announcements of leaves that could not be read."}),
		nodes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_frontend_nodes", Help: "Nodes that share the extra load."}),
		storeUp: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_frontend_store_up", Help: "Whether the store answers: 1 or 0."}),
	}
	registerer.MustRegister(created.requests, created.configVersion, created.leaves,
		created.configsRejected, created.leavesRejected, created.nodes, created.storeUp)
	return created
}

func (m *metrics) observe(answer forward.Answer, took time.Duration) {
	m.requests.WithLabelValues(string(answer.Fate)).Observe(took.Seconds())
}

// logAnswer writes a line on a request that was not served whole.
func (f *Frontend) logAnswer(request *forward.Request, answer forward.Answer, took time.Duration) {
	level := slog.LevelWarn
	switch answer.Fate {
	case forward.FateAnswered, forward.FateMerged:
		if answer.Missing == 0 && answer.Part.Status < 500 {
			return
		}
		level = slog.LevelInfo
	}
	f.logger.Log(context.Background(), level, "request", "request_id", request.ID, "route", answer.Route, "version", answer.Version,
		"fate", string(answer.Fate), "reason", string(answer.Reason), "answered", answer.Answered, "total", answer.Total,
		"missing", answer.Missing, "status", answer.Part.Status, "took", took.String(), "patience", request.Patience.String())
}
