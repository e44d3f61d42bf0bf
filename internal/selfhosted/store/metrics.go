package store

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const resultOK = "ok"

type metrics struct {
	calls       *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	watchEvents prometheus.Counter
	watches     prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_store_calls_total",
			Help: "Calls to the configuration store, by step and result.",
		}, []string{"step", "result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "micaplank_store_call_duration_seconds",
			Help:    "Time of a call to the configuration store, with the wait for the client's own limiter.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}, []string{"step"}),
		watchEvents: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_store_watch_events_total",
			Help: "Changes of keys received over watches.",
		}),
		watches: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_store_watches_open",
			Help: "Watches that are open now.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.calls, m.duration, m.watchEvents, m.watches)
	}
	return m
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
