package rollout

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestRecordReadsAsRecorded guards against a change of the stored form of Record, which nodes of
// other versions read.
func TestRecordReadsAsRecorded(t *testing.T) { wiretest.CheckJSON[Record](t, "record") }
