package telemetry

import "github.com/prometheus/client_golang/prometheus"

// Factory makes metrics and registers them. Its methods panic if a metric of that name
// is registered.
type Factory struct{ registerer prometheus.Registerer }

// NewFactory returns a Factory that registers with a registry.
func NewFactory(registerer prometheus.Registerer) Factory { return Factory{registerer: registerer} }

// Counter makes a counter.
func (f Factory) Counter(name, help string) prometheus.Counter {
	return registered(f, prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help}))
}

// Counters makes counters that differ by labels.
func (f Factory) Counters(name, help string, labels ...string) *prometheus.CounterVec {
	return registered(f, prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels))
}

// Gauge makes a gauge.
func (f Factory) Gauge(name, help string) prometheus.Gauge {
	return registered(f, prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help}))
}

// Histograms makes histograms that differ by labels, with the upper bounds of their
// buckets.
func (f Factory) Histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return registered(f, prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels))
}

// registered registers a metric and returns it.
func registered[M prometheus.Collector](with Factory, metric M) M {
	with.registerer.MustRegister(metric)
	return metric
}
