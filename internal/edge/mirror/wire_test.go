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

// TestPackedValuesOfFormerVersionDecode checks that packed values of a version that does not state
// the era are decoded with era zero.
func TestPackedValuesOfFormerVersionDecode(t *testing.T) {
	items := wiretest.DecodePreviousGob[[]Item](t, "packed.items")
	events := wiretest.DecodePreviousGob[[]Event](t, "packed.events")
	if items[0].Revision != 41 || items[0].Era != 0 || events[0].Revision != 74 || events[0].Era != 0 {
		t.Errorf("got %+v and %+v, want revisions 41 and 74 of era 0", items[0], events[0])
	}
}
