package membership

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestPacketReadsAsRecorded guards a fleet of two versions.
func TestPacketReadsAsRecorded(t *testing.T) {
	wiretest.CheckEncoding(t, "packet", EncodePacket, DecodePacket)
}
