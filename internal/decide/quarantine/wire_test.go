package quarantine

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestRecordReadsAsRecorded: the store keeps records that other versions wrote.
func TestRecordReadsAsRecorded(t *testing.T) { wiretest.JSON[Record](t, "record") }
