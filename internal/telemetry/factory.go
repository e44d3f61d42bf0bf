package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Factory makes metrics and registers each. It panics if a name is taken.
type Factory struct{ factory promauto.Factory }

// NewFactory returns a Factory that registers with registerer; with nil its
// metrics are registered nowhere.
func NewFactory(registerer prometheus.Registerer) Factory {
	return Factory{factory: promauto.With(registerer)}
}

// Counter makes a counter without labels.
func (f Factory) Counter(name, help string) prometheus.Counter {
	return f.factory.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

// Counters makes one counter for each combination of the labels' values.
func (f Factory) Counters(name, help string, labels ...string) *prometheus.CounterVec {
	return f.factory.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// Gauge makes a gauge without labels.
func (f Factory) Gauge(name, help string) prometheus.Gauge {
	return f.factory.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

// GaugeFunc makes a gauge that is read by a call of value.
func (f Factory) GaugeFunc(name, help string, value func() float64) {
	f.factory.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
}

// Histograms makes one histogram for each combination of the labels' values;
// buckets are upper bounds.
func (f Factory) Histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return f.factory.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
}
