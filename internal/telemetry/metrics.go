package telemetry

import (
	"maps"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Registry is a Prometheus registry that can list its metrics, also those
// without a sample yet. Hand it to the parts as a prometheus.Registerer.
type Registry struct {
	*prometheus.Registry
	// types holds the type of each metric registered as a vector, by name.
	types map[string]MetricType
}

// TypedCollector is a collector that gives the types of its metrics by name,
// so that they are known before there is a sample.
type TypedCollector interface {
	prometheus.Collector
	MetricTypes() map[string]MetricType
}

var _ prometheus.Registerer = (*Registry)(nil)

// NewRegistry returns a registry with the metrics of the Go runtime, of the
// process, and of the build. Register everything before it is served.
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

// MustRegister implements prometheus.Registerer: it panics if a collector
// cannot be registered.
func (r *Registry) MustRegister(collectors ...prometheus.Collector) {
	for _, collector := range collectors {
		if err := r.Register(collector); err != nil {
			panic(err)
		}
	}
}

// Handler serves the metrics over HTTP.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.Registry, promhttp.HandlerOpts{Registry: r.Registry})
}

func newBuildInfoGauge(version string) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "micaplank_build_info",
		Help:        "Always 1; the label names the version of this process.",
		ConstLabels: prometheus.Labels{"version": version},
	}, func() float64 { return 1 })
}

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
