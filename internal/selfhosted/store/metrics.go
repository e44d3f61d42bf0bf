package store

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/telemetry"
)

const resultOK = "ok"

// durationBuckets are the upper bounds of the call duration in seconds, from 1 ms to 4 s.
var durationBuckets = prometheus.ExponentialBuckets(0.001, 2, 13)

type metrics struct {
	calls       *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	watchEvents prometheus.Counter
	watches     prometheus.Gauge
}

// newMetrics creates the metrics and registers them unless registerer is nil.
func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := telemetry.NewFactory(registerer)
	return &metrics{
		calls: factory.CounterVec("micaplank_store_calls_total",
			"Calls to the configuration store, by step and result.", "step", "result"),
		duration: factory.HistogramVec("micaplank_store_call_duration_seconds",
			"Duration of a call to the configuration store, including the wait for the rate limiter of the client.", durationBuckets, "step"),
		watchEvents: factory.Counter("micaplank_store_watch_events_total",
			"Changes of keys received from watches."),
		watches: factory.Gauge("micaplank_store_watches_open",
			"Open watches."),
	}
}

func (m *metrics) observe(step Step, err error, elapsed time.Duration) {
	m.duration.WithLabelValues(string(step)).Observe(elapsed.Seconds())
	result := resultOK
	var failure *Error
	if errors.As(err, &failure) {
		result = string(failure.Kind)
	}
	m.calls.WithLabelValues(string(step), result).Inc()
}
