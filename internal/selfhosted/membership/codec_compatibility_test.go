package membership

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestPacketReadsAsRecorded guards a fleet of two versions.
func TestPacketDecodesRecordedBytes(t *testing.T) {
	wiretest.Encoded(t, "packet", EncodePacket, DecodePacket)
}
