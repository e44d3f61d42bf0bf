package catalog

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestStoredReadsAsRecorded: the store keeps changes and checkpoints of other versions.
func TestStoredFormsMatchRecordings(t *testing.T) {
	wiretest.JSON[Catalog](t, "catalog")
	wiretest.JSON[Change](t, "change")
}
