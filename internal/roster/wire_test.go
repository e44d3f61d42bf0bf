package roster

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestMemberReadsAsRecorded: nodes of other versions announce themselves in the store.
func TestMemberReadsAsRecorded(t *testing.T) { wiretest.JSON[Member](t, "member") }
