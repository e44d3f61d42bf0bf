package node

import (
	"testing"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestMessagesMatchRecordedGob guards the compatibility of nodes of two versions in one fleet.
func TestMessagesMatchRecordedGob(t *testing.T) {
	wiretest.CheckGob[watchRequest](t, "store.watch.request")
	wiretest.CheckGob[mirror.WatchResponse](t, "store.watch.response")
	wiretest.CheckGob[offerRequest](t, "store.offer.request")
	wiretest.CheckGob[mirror.Offer](t, "store.offer.response")
	wiretest.CheckGob[snapshotRequest](t, "store.snapshot.request")
	wiretest.CheckGob[mirror.Snapshot](t, "store.snapshot.response")
	wiretest.CheckGob[rollout.Report](t, "rollout.report.request")
	wiretest.CheckGob[rollout.Reply](t, "rollout.report.response")
}

// TestReportOfFormerVersionIsDecoded checks that a report of an earlier version, which has no
// counts of first attempts and overtaken attempts, is decoded with zeros for them.
func TestReportOfFormerVersionIsDecoded(t *testing.T) {
	report := wiretest.DecodePreviousGob[rollout.Report](t, "rollout.report.request")
	if counts := report.Rows[0].Counts; counts.Failed != 88 || counts.Took[0] != 18 || counts.First != 0 || counts.Overtaken != 0 {
		t.Errorf("got counts %+v, want 88 failed, 18 in the first bucket, no first and no overtaken attempts", counts)
	}
}

// TestStoreMessagesOfFormerVersionAreDecoded checks that messages of a version that does not state
// the era of the store are decoded with era zero.
func TestStoreMessagesOfFormerVersionAreDecoded(t *testing.T) {
	request := wiretest.DecodePreviousGob[watchRequest](t, "store.watch.request")
	response := wiretest.DecodePreviousGob[mirror.WatchResponse](t, "store.watch.response")
	offer := wiretest.DecodePreviousGob[mirror.Offer](t, "store.offer.response")
	snapshot := wiretest.DecodePreviousGob[mirror.Snapshot](t, "store.snapshot.response")
	if request.After == 0 || response.Revision == 0 || offer.Revision == 0 || snapshot.Revision == 0 {
		t.Errorf("got no revision in %+v, %+v, %+v or %+v", request, response, offer, snapshot.Offer)
	}
	if request.Era != 0 || response.Era != 0 || offer.Era != 0 || snapshot.Era != 0 {
		t.Errorf("got an era in %+v, %+v, %+v or %+v, want none", request, response, offer, snapshot.Offer)
	}
}
