package combine

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestRecordedMessagesDecode checks that recorded messages decode, because a fleet may run two
// versions.
func TestRecordedMessagesDecode(t *testing.T) {
	wiretest.CheckGob[pingRequest](t, "combine.ping.request")
	wiretest.CheckGob[pingResponse](t, "combine.ping.response")
	wiretest.CheckGob[fetchRequest](t, "combine.fetch.request")
	wiretest.CheckGob[fetchResponse](t, "combine.fetch.response")
	wiretest.CheckGob[restRequest](t, "combine.rest.request")
	wiretest.CheckGob[restResponse](t, "combine.rest.response")
}

// TestFormerFailureDecodes checks the message of a previous version, whose combiners do not report
// a refused connection.
func TestFormerFailureDecodes(t *testing.T) {
	response := wiretest.DecodePreviousGob[fetchResponse](t, "combine.fetch.response")
	if failed := response.Failure; failed == nil || !failed.Sent || !failed.Closed || failed.Refused || failed.Text == "" {
		t.Errorf("failure %+v, want Sent, Closed and a text, without Refused", failed)
	}
}
