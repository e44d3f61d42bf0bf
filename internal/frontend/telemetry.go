package frontend

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/forward"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/telemetry"
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

// logAnswer writes a line on a request: at level warn if it got no answer, info
// if its answer is partial or a leaf's failure, and debug otherwise. From is the
// node that took the request from its client.
func (f *Frontend) logAnswer(request *forward.Request, answer forward.Answer, took time.Duration, from string) {
	level := levelOf(answer)
	ctx := context.Background()
	if !f.logger.Enabled(ctx, level) {
		return
	}
	f.logger.Log(ctx, level, messageRequest,
		telemetry.AttributeRequestID, request.ID,
		"route", answer.Route, "version", answer.Version,
		"fate", string(answer.Fate), "reason", string(answer.Reason),
		"answered", answer.Answered, "total", answer.Total, "status", answer.Part.Status,
		"took_ms", took.Milliseconds(), "patience_ms", request.Patience.Milliseconds(),
		"retry_after_ms", answer.RetryAfter.Milliseconds(),
		"from", from, "executor", answer.Executor,
		"attempts", attemptLines(answer))
}

// messageRequest is the message of lines on requests.
const messageRequest = "request"

func levelOf(answer forward.Answer) slog.Level {
	switch answer.Fate {
	case forward.FateMerged:
		if answer.Missing > 0 {
			return slog.LevelInfo
		}
		return slog.LevelDebug
	case forward.FateAnswered:
		if answer.Part.Status >= http.StatusInternalServerError {
			return slog.LevelInfo
		}
		return slog.LevelDebug
	default:
		return slog.LevelWarn
	}
}

// maxAttemptLines bounds the attempts on one line.
const maxAttemptLines = 24

// attemptLine is one attempt as the log tells it.
type attemptLine struct {
	Shard    int     `json:"shard"`
	Leaf     string  `json:"leaf"`
	Address  string  `json:"address"`
	Cause    string  `json:"cause"`
	AtMS     int64   `json:"at_ms"`
	TookMS   int64   `json:"took_ms"`
	End      string  `json:"end"`
	Detail   string  `json:"detail,omitempty"`
	InFlight int     `json:"in_flight"`
	Limit    int     `json:"limit"`
	Others   float64 `json:"others"`
	AgeMS    int64   `json:"age_ms"`
	Slowness float64 `json:"slowness"`
	Budget   float64 `json:"budget"`
}

// attemptLines tells the attempts that explain an answer: all of a request to
// one leaf; of many shards those that were extra or did not bring a part.
func attemptLines(answer forward.Answer) []attemptLine {
	lines := []attemptLine{}
	for _, one := range answer.Attempts {
		plain := one.End == scatter.EndAnswered && !one.Extra
		if plain && answer.Total > 1 || len(lines) == maxAttemptLines {
			continue
		}
		lines = append(lines, attemptLine{
			Shard: one.Shard, Leaf: one.BootID, Address: one.Leaf.String(), Cause: string(one.Cause),
			AtMS: one.At.Milliseconds(), TookMS: one.Took.Milliseconds(), End: string(one.End), Detail: one.Detail,
			InFlight: one.Basis.InFlight, Limit: one.Basis.Limit, Others: rounded(one.Basis.Others),
			AgeMS: one.Basis.Age.Milliseconds(), Slowness: rounded(one.Basis.Slowness), Budget: rounded(one.Basis.Budget),
		})
	}
	return lines
}

// rounded keeps two digits after the point.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }
