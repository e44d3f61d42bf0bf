package combine

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestMessagesReadAsRecorded guards a fleet of two versions.
func TestRecordedMessagesDecode(t *testing.T) {
	wiretest.Gob[pingRequest](t, "combine.ping.request")
	wiretest.Gob[pingResponse](t, "combine.ping.response")
	wiretest.Gob[fetchRequest](t, "combine.fetch.request")
	wiretest.Gob[fetchResponse](t, "combine.fetch.response")
	wiretest.Gob[restRequest](t, "combine.rest.request")
	wiretest.Gob[restResponse](t, "combine.rest.response")
}

// TestFormerFailureIsRead: combiners of a former version do not say that nobody listens.
func TestFormerFailureDecodes(t *testing.T) {
	response := wiretest.FormerGob[fetchResponse](t, "combine.fetch.response")
	if failed := response.Failure; failed == nil || !failed.Sent || !failed.Closed || failed.Refused || failed.Text == "" {
		t.Errorf("%+v", failed)
	}
}
