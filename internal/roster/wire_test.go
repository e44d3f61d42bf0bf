package roster

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestMemberReadsAsRecorded: nodes of other versions announce themselves in the store.
func TestMemberWireFormat(t *testing.T) { wiretest.JSON[Member](t, "member") }
