package delegate

import (
	"testing"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestRecordedMessagesDecode checks that recorded messages decode, because a fleet may run two
// versions.
func TestRecordedMessagesDecode(t *testing.T) {
	wiretest.CheckGob[statusRequest](t, "relay.status.request")
	wiretest.CheckGob[executors.Status](t, "relay.status.response")
	wiretest.CheckGob[executeRequest](t, "relay.execute.request")
	wiretest.CheckGob[executeResponse](t, "relay.execute.response")
}
