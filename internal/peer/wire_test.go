package peer

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestRecordedMessagesDecode checks that messages recorded by an earlier version still decode,
// because nodes of two versions exchange messages during an upgrade.
func TestRecordedMessagesDecode(t *testing.T) {
	wiretest.CheckGob[pingMessage](t, "peer.ping.request")
	wiretest.CheckGob[pingMessage](t, "peer.ping.response")
}
