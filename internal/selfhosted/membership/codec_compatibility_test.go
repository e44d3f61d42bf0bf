package membership

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestPacketDecodesRecordedBytes checks that nodes of two versions understand each other's packets.
func TestPacketDecodesRecordedBytes(t *testing.T) {
	wiretest.CheckEncoding(t, "packet", EncodePacket, DecodePacket)
}
