package telemetry

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
)

// MetricType is a metric type of the Prometheus exposition format.
type MetricType string

// Metric types.
const (
	TypeCounter   MetricType = "counter"
	TypeGauge     MetricType = "gauge"
	TypeHistogram MetricType = "histogram"
	TypeSummary   MetricType = "summary"
	TypeUnknown   MetricType = "untyped"
)

// Metric describes a registered metric.
type Metric struct {
	Name   string
	Type   MetricType
	Help   string
	Labels []string
}

// Metrics returns the registered metrics whose name starts with prefix, sorted by name.
func (r *Registry) Metrics(prefix string) ([]Metric, error) {
	families, err := r.Gather()
	if err != nil {
		return nil, oops.In("telemetry").With("step", "telemetry.gather").Wrap(err)
	}
	gathered := map[string]MetricType{}
	for _, family := range families {
		gathered[family.GetName()] = MetricType(strings.ToLower(family.GetType().String()))
	}
	var metrics []Metric
	for _, metric := range describeMetrics(r.Registry) {
		if strings.HasPrefix(metric.Name, prefix) {
			metric.Type = r.lookupType(metric.Name, gathered)
			metrics = append(metrics, metric)
		}
	}
	slices.SortFunc(metrics, func(left, right Metric) int { return strings.Compare(left.Name, right.Name) })
	return slices.CompactFunc(metrics, func(left, right Metric) bool { return left.Name == right.Name }), nil
}

// lookupType returns the type of a metric. A vector without samples is not among the gathered
// metrics; its type was recorded when it was registered.
func (r *Registry) lookupType(name string, gathered map[string]MetricType) MetricType {
	if metricType, exists := r.types[name]; exists {
		return metricType
	}
	if metricType, exists := gathered[name]; exists {
		return metricType
	}
	return TypeUnknown
}

// WriteMetrics writes a Markdown table that lists metrics.
func WriteMetrics(writer io.Writer, metrics []Metric) error {
	var text strings.Builder
	text.WriteString("| Metric | Type | Labels | Meaning |\n| --- | --- | --- | --- |\n")
	for _, metric := range metrics {
		labels := ""
		if len(metric.Labels) > 0 {
			labels = "`" + strings.Join(metric.Labels, "`, `") + "`"
		}
		help := strings.ReplaceAll(metric.Help, "|", `\|`)
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s |\n", metric.Name, metric.Type, labels, help)
	}
	_, err := io.WriteString(writer, text.String())
	return err
}

// descriptionPattern parses the text of a prometheus.Desc, which has no accessors for its
// fields.
var descriptionPattern = regexp.MustCompile(
	`^Desc\{fqName: ("(?:[^"\\]|\\.)*"), help: ("(?:[^"\\]|\\.)*"),.* variableLabels: \{([^}]*)\}\}$`)

// describeMetrics returns the name, help and labels of the metrics that a collector describes.
func describeMetrics(collector prometheus.Collector) []Metric {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		defer close(descriptions)
		collector.Describe(descriptions)
	}()
	var metrics []Metric
	for description := range descriptions {
		match := descriptionPattern.FindStringSubmatch(description.String())
		if match == nil {
			continue
		}
		metric := Metric{Name: unquote(match[1]), Help: unquote(match[2])}
		if match[3] != "" {
			metric.Labels = strings.Split(match[3], ",")
		}
		metrics = append(metrics, metric)
	}
	return metrics
}

// unquote returns the value of a Go string literal, or text itself if it is no literal.
func unquote(text string) string {
	unquoted, err := strconv.Unquote(text)
	if err != nil {
		return text
	}
	return unquoted
}
