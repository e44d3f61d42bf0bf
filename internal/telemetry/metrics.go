package telemetry

import (
	"maps"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Registry is a Prometheus registry that can list its metrics, including metrics without
// samples. Pass it to components as a prometheus.Registerer.
type Registry struct {
	*prometheus.Registry
	// types holds the type of each metric that was registered by a vector or a TypedCollector,
	// keyed by name.
	types map[string]MetricType
}

// TypedCollector is a collector that provides the types of its metrics, keyed by name, so that
// the types can be listed before the first sample.
type TypedCollector interface {
	prometheus.Collector
	MetricTypes() map[string]MetricType
}

var _ prometheus.Registerer = (*Registry)(nil)

// NewRegistry returns a registry with the metrics of the Go runtime, the process and the build.
// All metrics must be registered before the registry is served.
func NewRegistry(version string) *Registry {
	registry := &Registry{Registry: prometheus.NewRegistry(), types: map[string]MetricType{}}
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newBuildInfoGauge(version),
	)
	return registry
}

// Register implements prometheus.Registerer.
func (r *Registry) Register(collector prometheus.Collector) error {
	if err := r.Registry.Register(collector); err != nil {
		return err
	}
	if typed, ok := collector.(TypedCollector); ok {
		maps.Copy(r.types, typed.MetricTypes())
	}
	if metricType := vectorType(collector); metricType != "" {
		for _, metric := range describeMetrics(collector) {
			r.types[metric.Name] = metricType
		}
	}
	return nil
}

// MustRegister implements prometheus.Registerer. It panics if a registration fails.
func (r *Registry) MustRegister(collectors ...prometheus.Collector) {
	for _, collector := range collectors {
		if err := r.Register(collector); err != nil {
			panic(err)
		}
	}
}

// Handler returns an HTTP handler that serves the metrics.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.Registry, promhttp.HandlerOpts{Registry: r.Registry})
}

// newBuildInfoGauge returns the metric that exposes the version of the build as a label.
func newBuildInfoGauge(version string) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "micaplank_build_info",
		Help:        "Always 1; the label names the version of this process.",
		ConstLabels: prometheus.Labels{"version": version},
	}, func() float64 { return 1 })
}

// vectorType returns the metric type of a vector, or "" if the collector is not a vector.
func vectorType(collector prometheus.Collector) MetricType {
	switch collector.(type) {
	case *prometheus.CounterVec:
		return TypeCounter
	case *prometheus.GaugeVec:
		return TypeGauge
	case *prometheus.HistogramVec:
		return TypeHistogram
	case *prometheus.SummaryVec:
		return TypeSummary
	default:
		return ""
	}
}
