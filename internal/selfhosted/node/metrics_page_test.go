package node

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/micaplank/micaplank/internal/settings"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// metricsPageHead is the part of docs/METRICS.md before the table.
const metricsPageHead = `# Metrics

<!-- Written by a test: change the text beside the metric and run "go test ./internal/selfhosted/node -update". -->

A node serves these at ` + "`/metrics`" + ` in the Prometheus text format, besides those of the Go runtime and the process. Each name has its unit: seconds, bytes, or the things that are counted; ` + "`_total`" + ` marks counters. Those that say whether something is so are 1 or 0; a revision and a score are plain numbers. Which of them to watch, and what to do, is in [OPERATIONS-SELFHOSTED.md](OPERATIONS-SELFHOSTED.md).

`

// newTestNode builds a node without starting it.
func newTestNode(t *testing.T) (*Node, *telemetry.Registry) {
	t.Helper()
	configured := settings.Example()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	configured.Listen.HTTP, configured.Listen.Peer = loopback, loopback
	registry := telemetry.NewRegistry("test")
	node, err := New(configured, registry, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		node.closeSockets()
		_ = node.peerServer.Close(context.Background())
	})
	return node, registry
}

// TestMetricsPage checks that docs/METRICS.md describes exactly the metrics that a node registers.
func TestMetricsPage(t *testing.T) {
	_, registry := newTestNode(t)
	metrics, err := registry.Metrics("micaplank_")
	if err != nil {
		t.Fatal(err)
	}
	var page strings.Builder
	page.WriteString(metricsPageHead)
	if err := telemetry.WriteMetrics(&page, metrics); err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("../../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "METRICS", []byte(page.String()))
}

var (
	nameWithUnit = regexp.MustCompile(`^micaplank_[a-z]+_[a-z_]*(_seconds|_bytes|_info|_total)$`)
	// countGaugeName matches gauges that are named after what they count.
	countGaugeName = regexp.MustCompile(`^micaplank(_[a-z]+)+_(members|leaves|queries|connections|zones|watches_open)$`)
	// booleanGaugeHelp matches the help text of a gauge that is 1 or 0.
	booleanGaugeHelp = regexp.MustCompile(`^Whether .*\(1\) or not \(0\)\.$`)
	// unitlessMetrics are the metrics that have no unit: a constant, an ordinal and a score.
	unitlessMetrics = []string{"micaplank_build_info", "micaplank_dissemination_revision", "micaplank_membership_health_score"}
)

// hasUnit reports whether the name of a metric contains its unit, or the metric is one that needs
// none.
func hasUnit(metric telemetry.Metric) bool {
	if nameWithUnit.MatchString(metric.Name) || slices.Contains(unitlessMetrics, metric.Name) {
		return true
	}
	return metric.Type == telemetry.TypeGauge && (countGaugeName.MatchString(metric.Name) || booleanGaugeHelp.MatchString(metric.Help))
}

// TestMetricNamesIncludeUnits checks that counters, and only they, end in _total, that names
// contain units, and that each metric has a type and a help text.
func TestMetricNamesIncludeUnits(t *testing.T) {
	_, registry := newTestNode(t)
	metrics, err := registry.Metrics("micaplank_")
	if err != nil {
		t.Fatal(err)
	}
	for _, metric := range metrics {
		isTotal := strings.HasSuffix(metric.Name, "_total")
		if (metric.Type == telemetry.TypeCounter) != isTotal {
			t.Errorf("%s: got type %s, want a counter exactly if the name ends in _total", metric.Name, metric.Type)
		}
		if !hasUnit(metric) {
			t.Errorf("%s: got a %s without a unit, want the unit in the name", metric.Name, metric.Type)
		}
		if metric.Type == telemetry.TypeUnknown || !strings.HasSuffix(metric.Help, ".") {
			t.Errorf("%s: got type %s and help %q, want a known type and a help text that ends with a period", metric.Name, metric.Type, metric.Help)
		}
	}
}
