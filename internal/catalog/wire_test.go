package catalog

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestStoredReadsAsRecorded: the store keeps changes and checkpoints of other versions.
func TestStoredReadsAsRecorded(t *testing.T) {
	wiretest.CheckJSON[Catalog](t, "catalog")
	wiretest.CheckJSON[Change](t, "change")
}
