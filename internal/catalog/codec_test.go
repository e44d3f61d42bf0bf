package catalog

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestStoredFormsMatchRecordings guards against an incompatible change of the stored JSON: the
// store holds changes and checkpoints that other versions wrote.
func TestStoredFormsMatchRecordings(t *testing.T) {
	wiretest.CheckJSON[Catalog](t, "catalog")
	wiretest.CheckJSON[Change](t, "change")
}
