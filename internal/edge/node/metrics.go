package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/intake"
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
	clientsClosed    *prometheus.CounterVec
	suspendedSeconds prometheus.Counter

	// clients counts the callers; nil before the node listens.
	clients atomic.Pointer[intake.Guard]

	mutex       sync.Mutex
	routeLabels labelSet
}

// latencyBuckets lists the upper bounds of the histogram buckets in seconds.
var latencyBuckets = []float64{.005, .01, .02, .04, .08, .15, .3, .6, 1, 2, 4, 8}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := telemetry.NewFactory(registerer)
	created := &metrics{
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
		clientsClosed: factory.CounterVec("micaplank_frontend_clients_closed_total",
			"Connections of callers that were closed before a whole request had arrived, by the bound that was reached: connections or bytes.", "bound"),
		suspendedSeconds: factory.Counter("micaplank_frontend_suspended_seconds_total",
			"Time for which the machine was suspended while this process ran."),
	}
	factory.GaugeFunc("micaplank_frontend_client_connections",
		"Open connections of callers.",
		func() float64 { return float64(created.clientUsage().Connections) })
	factory.GaugeFunc("micaplank_frontend_client_bytes",
		"Memory that is counted for connections of callers and for their requests that are not answered yet, in bytes.",
		func() float64 { return float64(created.clientUsage().Bytes) })
	return created
}

// clientUsage returns what callers occupy.
func (m *metrics) clientUsage() intake.Usage {
	if guard := m.clients.Load(); guard != nil {
		return guard.Usage()
	}
	return intake.Usage{}
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
