package node

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// metrics holds the metrics of a Node.
type metrics struct {
	requestsTotal    *prometheus.CounterVec
	requestSeconds   *prometheus.HistogramVec
	configVersion    prometheus.Gauge
	leaves           prometheus.Gauge
	zonesCordoned    prometheus.Gauge
	configsRejected  prometheus.Counter
	leavesRejected   prometheus.Counter
	nodes            prometheus.Gauge
	storeUp          prometheus.Gauge
	storeRestores    prometheus.Counter
	suspendedSeconds prometheus.Counter

	mutex       sync.Mutex
	routeLabels labelSet
}

// latencyBuckets lists the upper bounds of the histogram buckets in seconds.
var latencyBuckets = []float64{.005, .01, .02, .04, .08, .15, .3, .6, 1, 2, 4, 8}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := telemetry.NewFactory(registerer)
	return &metrics{
		requestsTotal: factory.CounterVec("micaplank_frontend_requests_total",
			"Client requests, by route (64 at most, then other), fate and reason.",
			"route", "fate", "reason"),
		routeLabels: make(labelSet),
		requestSeconds: factory.HistogramVec("micaplank_frontend_request_seconds",
			"Time from reading a request until its final answer, by fate.",
			latencyBuckets, "fate"),
		configVersion: factory.Gauge("micaplank_frontend_config_version",
			"Version of the declared configuration in force."),
		leaves: factory.Gauge("micaplank_frontend_leaves",
			"Leaves in the topology."),
		zonesCordoned: factory.Gauge("micaplank_frontend_zones_cordoned",
			"Zones that operators have cordoned: their leaves get no new attempts."),
		configsRejected: factory.Counter("micaplank_frontend_configs_rejected_total",
			"Configurations that could not be used; the last good one stayed in force."),
		leavesRejected: factory.Counter("micaplank_frontend_leaves_rejected_total",
			"Announcements of leaves that were rejected: they could not be decoded, or were of an older start of the leaf."),
		nodes: factory.Gauge("micaplank_frontend_nodes",
			"Nodes that share the extra load."),
		storeUp: factory.Gauge("micaplank_frontend_store_up",
			"Whether the store answers: 1 or 0."),
		storeRestores: factory.Counter("micaplank_frontend_store_restores_total",
			"Restores of the store from a backup, after which this node has read everything again."),
		suspendedSeconds: factory.Counter("micaplank_frontend_suspended_seconds_total",
			"Time for which the machine was suspended while this process ran."),
	}
}

func (m *metrics) observe(answer forward.Answer, duration time.Duration) {
	m.requestSeconds.WithLabelValues(string(answer.Fate)).Observe(duration.Seconds())
	m.mutex.Lock()
	route := m.routeLabels.bound(answer.Route)
	m.mutex.Unlock()
	m.requestsTotal.WithLabelValues(route, string(answer.Fate), string(answer.Reason)).Inc()
}

// maxLabelValues bounds how many different values a labelSet lets through.
const maxLabelValues = 64

// otherLabel replaces all further values.
const otherLabel = "other"

// labelSet bounds the number of values of a metric label. It is not safe for concurrent use.
type labelSet map[string]bool

func (s labelSet) bound(value string) string {
	if s[value] {
		return value
	}
	if len(s) >= maxLabelValues {
		return otherLabel
	}
	s[value] = true
	return value
}

// These are the values of the label result.
const (
	resultWritten   = "written"
	resultOvertaken = "overtaken"
	resultFailed    = "failed"
	resultAnswered  = "answered"
	resultPassed    = "passed"
)
