package node

import (
	"testing"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestMessagesReadAsRecorded guards a fleet of two versions.
func TestMessagesReadAsRecorded(t *testing.T) {
	wiretest.Gob[watchRequest](t, "store.watch.request")
	wiretest.Gob[mirror.Watched](t, "store.watch.response")
	wiretest.Gob[offerRequest](t, "store.offer.request")
	wiretest.Gob[mirror.Offer](t, "store.offer.response")
	wiretest.Gob[snapshotRequest](t, "store.snapshot.request")
	wiretest.Gob[mirror.Snapshot](t, "store.snapshot.response")
	wiretest.Gob[rollout.Report](t, "rollout.report.request")
	wiretest.Gob[rollout.Reply](t, "rollout.report.response")
}
