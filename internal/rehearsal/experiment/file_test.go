package experiment_test

import (
	"context"
	"io"
	"testing"

	"github.com/micaplank/micaplank/internal/rehearsal/experiment"
)

// TestCommittedExperimentsBreakNoPromise loads the committed files and runs a
// small part of each. Figures are for reading, and not judged here; a broken
// promise is an error.
func TestCommittedExperimentsBreakNoPromise(t *testing.T) {
	parts := []struct{ file, scenario, service string }{
		{"hokkaido.toml", "straggler-and-loss", "port-feed"},
		{"saigon.toml", "zone-lost", "refund-clerk"},
	}
	for _, part := range parts {
		loaded, err := experiment.Load("../../../experiments/" + part.file)
		if err != nil {
			t.Fatal(err)
		}
		result, err := experiment.Run(context.Background(), loaded.Only(part.scenario, part.service, 1), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		if len(result.Cells) == 0 {
			t.Fatalf("%s has no cell for %s and %s", part.file, part.scenario, part.service)
		}
		for _, cell := range result.Cells {
			if len(cell.Violations) > 0 {
				t.Errorf("%s %s %s: %v %v", part.file, cell.Scenario, cell.Policy, cell.Violations, cell.Examples)
			}
		}
	}
}
