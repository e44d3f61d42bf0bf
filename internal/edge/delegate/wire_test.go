package delegate

import (
	"testing"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestMessagesReadAsRecorded guards a fleet of two versions.
func TestRecordedMessagesDecode(t *testing.T) {
	wiretest.Gob[statusRequest](t, "relay.status.request")
	wiretest.Gob[executors.Status](t, "relay.status.response")
	wiretest.Gob[executeRequest](t, "relay.execute.request")
	wiretest.Gob[executeResponse](t, "relay.execute.response")
}
