package combine

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestMessagesReadAsRecorded guards a fleet of two versions.
func TestMessagesReadAsRecorded(t *testing.T) {
	wiretest.Gob[pingRequest](t, "combine.ping.request")
	wiretest.Gob[pingResponse](t, "combine.ping.response")
	wiretest.Gob[fetchRequest](t, "combine.fetch.request")
	wiretest.Gob[fetchResponse](t, "combine.fetch.response")
	wiretest.Gob[restRequest](t, "combine.rest.request")
	wiretest.Gob[restResponse](t, "combine.rest.response")
}
