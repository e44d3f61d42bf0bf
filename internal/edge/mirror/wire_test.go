package mirror

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestRecordedPackedValuesDecode checks that packed values written by an older version decode,
// because a fleet may run two versions.
func TestRecordedPackedValuesDecode(t *testing.T) {
	wiretest.CheckGob[[]Item](t, "packed.items")
	wiretest.CheckGob[[]Event](t, "packed.events")
}
