package delegate

import (
	"testing"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestRecordedMessagesDecode checks that recorded messages decode, because a fleet may run two
// versions.
func TestRecordedMessagesDecode(t *testing.T) {
	wiretest.Gob[statusRequest](t, "relay.status.request")
	wiretest.Gob[executors.Status](t, "relay.status.response")
	wiretest.Gob[executeRequest](t, "relay.execute.request")
	wiretest.Gob[executeResponse](t, "relay.execute.response")
}
