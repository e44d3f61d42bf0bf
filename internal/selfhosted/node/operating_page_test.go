package node

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

var (
	metricInText  = regexp.MustCompile(`micaplank_[a-z]+_[a-z_]+`)
	problemInText = regexp.MustCompile(`urn:micaplank:problem:[a-z-]+`)
	linkInText    = regexp.MustCompile(`\]\(#([a-z-]+)\)`)
	headingInText = regexp.MustCompile(`(?m)^#+ (.*)$`)
)

// metricsOfThePlatformsNode returns the metrics on the page that a test of
// package platform keeps equal to its registry.
func metricsOfThePlatformsNode(t *testing.T) []string {
	t.Helper()
	content, err := os.ReadFile("../../../docs/METRICS-EDGE.md")
	if err != nil {
		t.Fatal(err)
	}
	return metricInText.FindAllString(string(content), -1)
}

// operatingPages are the pages for operators, one for each deployment.
var operatingPages = []string{"OPERATIONS.md", "OPERATIONS-SELFHOSTED.md"}

// TestOperatingPageNamesWhatExists checks the metrics, problem types and
// sections that the pages for operators name.
func TestOperatingPageNamesWhatExists(t *testing.T) {
	_, registry := buildNode(t)
	metrics, err := registry.Metrics("micaplank_")
	if err != nil {
		t.Fatal(err)
	}
	known := make(map[string]bool)
	for _, metric := range metrics {
		known[metric.Name] = true
	}
	for _, name := range metricsOfThePlatformsNode(t) {
		known[name] = true
	}
	for _, description := range api.ProblemDescriptions() {
		known[string(description.Type)] = true
	}
	for _, page := range operatingPages {
		t.Run(page, func(t *testing.T) { checkOperatingPage(t, page, known) })
	}
}

// checkOperatingPage checks one page. Known holds the metrics and problem types that
// there are.
func checkOperatingPage(t *testing.T, file string, known map[string]bool) {
	content, err := os.ReadFile("../../../docs/" + file)
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	for _, name := range append(metricInText.FindAllString(page, -1), problemInText.FindAllString(page, -1)...) {
		if !known[name] {
			t.Errorf("there is no %s", name)
		}
	}
	sections := make(map[string]bool)
	for _, heading := range headingInText.FindAllStringSubmatch(page, -1) {
		sections[strings.ReplaceAll(strings.ToLower(heading[1]), " ", "-")] = true
	}
	for _, link := range linkInText.FindAllStringSubmatch(page, -1) {
		if !sections[link[1]] {
			t.Errorf("there is no section %s", link[1])
		}
	}
}
