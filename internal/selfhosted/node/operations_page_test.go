package node

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

var (
	metricPattern  = regexp.MustCompile(`micaplank_[a-z]+_[a-z_]+`)
	problemPattern = regexp.MustCompile(`urn:micaplank:problem:[a-z-]+`)
	linkPattern    = regexp.MustCompile(`\]\(#([a-z-]+)\)`)
	headingPattern = regexp.MustCompile(`(?m)^#+ (.*)$`)
)

// readEdgeMetricNames returns the metrics of docs/METRICS-EDGE.md. A test of package platform
// checks that page against the registry of the edge node.
func readEdgeMetricNames(t *testing.T) []string {
	t.Helper()
	content, err := os.ReadFile("../../../docs/METRICS-EDGE.md")
	if err != nil {
		t.Fatal(err)
	}
	return metricPattern.FindAllString(string(content), -1)
}

// operationsPages are the pages for operators, one for each kind of deployment.
var operationsPages = []string{"OPERATIONS.md", "OPERATIONS-SELFHOSTED.md"}

// TestOperationsPageReferences checks that the metrics, problem types and sections that the pages
// for operators refer to exist.
func TestOperationsPageReferences(t *testing.T) {
	_, registry := newTestNode(t)
	metrics, err := registry.Metrics("micaplank_")
	if err != nil {
		t.Fatal(err)
	}
	existing := make(map[string]bool)
	for _, metric := range metrics {
		existing[metric.Name] = true
	}
	for _, name := range readEdgeMetricNames(t) {
		existing[name] = true
	}
	for _, description := range api.ProblemDescriptions() {
		existing[string(description.Type)] = true
	}
	for _, page := range operationsPages {
		t.Run(page, func(t *testing.T) { checkOperationsPage(t, page, existing) })
	}
}

// checkOperationsPage checks one page against the set of existing metrics and problem types.
func checkOperationsPage(t *testing.T, file string, existing map[string]bool) {
	content, err := os.ReadFile("../../../docs/" + file)
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	for _, name := range append(metricPattern.FindAllString(page, -1), problemPattern.FindAllString(page, -1)...) {
		if !existing[name] {
			t.Errorf("%s: got a reference to %s, want an existing metric or problem type", file, name)
		}
	}
	sections := make(map[string]bool)
	for _, heading := range headingPattern.FindAllStringSubmatch(page, -1) {
		sections[strings.ReplaceAll(strings.ToLower(heading[1]), " ", "-")] = true
	}
	for _, link := range linkPattern.FindAllStringSubmatch(page, -1) {
		if !sections[link[1]] {
			t.Errorf("%s: got a link to section %q, want an existing section", file, link[1])
		}
	}
}
