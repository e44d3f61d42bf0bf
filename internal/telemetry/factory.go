package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Factory creates and registers metrics. It panics if the name of a metric is already
// registered.
type Factory struct{ factory promauto.Factory }

// NewFactory returns a Factory that registers metrics with registerer. If registerer is nil, the
// metrics are not registered.
func NewFactory(registerer prometheus.Registerer) Factory {
	return Factory{factory: promauto.With(registerer)}
}

// Counter creates a counter without labels.
func (f Factory) Counter(name, help string) prometheus.Counter {
	return f.factory.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

// CounterVec creates a counter vector with the given labels.
func (f Factory) CounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return f.factory.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// Gauge creates a gauge without labels.
func (f Factory) Gauge(name, help string) prometheus.Gauge {
	return f.factory.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

// GaugeFunc creates a gauge that calls value each time it is collected.
func (f Factory) GaugeFunc(name, help string, value func() float64) {
	f.factory.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
}

// HistogramVec creates a histogram vector with the given labels. The buckets are upper bounds.
func (f Factory) HistogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return f.factory.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
}
