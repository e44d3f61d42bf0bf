package node

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/scatter"
)

// metrics are those of a Node.
type metrics struct {
	outcomes        *prometheus.CounterVec
	requests        *prometheus.HistogramVec
	configVersion   prometheus.Gauge
	leaves          prometheus.Gauge
	cordoned        prometheus.Gauge
	configsRejected prometheus.Counter
	leavesRejected  prometheus.Counter
	nodes           prometheus.Gauge
	storeUp         prometheus.Gauge
	suspended       prometheus.Counter

	mutex  sync.Mutex
	labels routeLabels
}

// latencyBuckets are the bounds in seconds.
var latencyBuckets = []float64{.005, .01, .02, .04, .08, .15, .3, .6, 1, 2, 4, 8}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_frontend_requests_total",
			Help: "Requests of callers, by route (64 at most, then other), fate and reason.",
		}, []string{"route", "fate", "reason"}),
		labels: make(routeLabels),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "micaplank_frontend_request_seconds",
			Help:    "Time from reading a request until its final answer, by fate.",
			Buckets: latencyBuckets,
		}, []string{"fate"}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_frontend_config_version", Help: "Version of the declared configuration in force."}),
		leaves: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_frontend_leaves", Help: "Leaves that are known."}),
		cordoned: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_frontend_zones_cordoned", Help: "Zones that operators took out of service: their leaves get no new attempts."}),
		configsRejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_frontend_configs_rejected_total", Help: "Configurations that could not be used; the last good one stayed in force."}),
		leavesRejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_frontend_leaves_rejected_total", Help: "Announcements of leaves that could not be read."}),
		nodes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_frontend_nodes", Help: "Nodes that share the extra load."}),
		storeUp: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_frontend_store_up", Help: "Whether the store answers: 1 or 0."}),
		suspended: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_frontend_suspended_seconds_total", Help: "Time for which the machine was suspended while this process ran."}),
	}
	registerer.MustRegister(created.outcomes, created.requests, created.configVersion, created.leaves, created.cordoned,
		created.configsRejected, created.leavesRejected, created.nodes, created.storeUp, created.suspended)
	return created
}

func (m *metrics) observe(answer forward.Answer, took time.Duration) {
	m.requests.WithLabelValues(string(answer.Fate)).Observe(took.Seconds())
	m.mutex.Lock()
	route := m.labels.of(answer.Route)
	m.mutex.Unlock()
	m.outcomes.WithLabelValues(route, string(answer.Fate), string(answer.Reason)).Inc()
}

// logAnswer writes the line on a request. From is the node that took it from
// its client.
func (f *Node) logAnswer(request *forward.Request, answer forward.Answer, took time.Duration, from string) {
	level := levelOf(answer)
	if !f.logger.Enabled(context.Background(), level) {
		return
	}
	event.Log(f.logger, event.Request{
		RequestID: request.ID, Content: request.Content().String(), Route: answer.Route, Version: answer.Version,
		Fate: string(answer.Fate), Reason: string(answer.Reason),
		Answered: answer.Answered, Total: answer.Total, Status: answer.Part.Status,
		TookMS: took.Milliseconds(), PatienceMS: request.ClientTimeout.Milliseconds(),
		RetryAfterMS: answer.RetryAfter.Milliseconds(),
		From:         from, Executor: answer.Executor,
		Attempts: attemptLines(answer),
	}.WithLevel(level))
}

// levelOf returns warn if there is no answer.
func levelOf(answer forward.Answer) slog.Level {
	switch answer.Fate {
	case forward.FateMerged, forward.FateAnswered:
		return slog.LevelInfo
	default:
		return slog.LevelWarn
	}
}

const (
	// maxAttemptLines bounds the attempts on one line.
	maxAttemptLines = 24
	// maxPlainAttemptLines bounds them if nothing is missing from the answer.
	maxPlainAttemptLines = 4
)

// attemptLines tells the attempts that explain an answer: all of a request to
// one leaf; of many shards those that were extra or did not bring a part.
func attemptLines(answer forward.Answer) []event.Attempt {
	most := maxAttemptLines
	if answer.Total > 1 && answer.Answered == answer.Total {
		most = maxPlainAttemptLines
	}
	lines := []event.Attempt{}
	for _, one := range answer.Attempts {
		plain := one.End == scatter.EndAnswered && !one.Extra
		if plain && answer.Total > 1 || len(lines) == most {
			continue
		}
		lines = append(lines, event.Attempt{
			Shard: one.Shard, Leaf: one.BootID, Address: one.Leaf.String(), Cause: string(one.Cause),
			AtMS: one.At.Milliseconds(), TookMS: one.Took.Milliseconds(), End: string(one.End), Closed: one.Closed, Detail: one.Detail,
			InFlight: one.Basis.InFlight, Limit: one.Basis.Limit, Others: rounded(one.Basis.Others),
			AgeMS: one.Basis.Age.Milliseconds(), Pace: one.Basis.Pace, Slowness: rounded(one.Basis.Slowness), Budget: rounded(one.Basis.Budget),
		})
	}
	return lines
}

// rounded keeps two digits after the point.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }
