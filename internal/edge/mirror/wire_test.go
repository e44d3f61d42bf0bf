package mirror

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestPackedReadsAsRecorded guards a fleet of two versions: what pack wrote is read.
func TestRecordedPackedValuesDecode(t *testing.T) {
	wiretest.Gob[[]Item](t, "packed.items")
	wiretest.Gob[[]Event](t, "packed.events")
}
