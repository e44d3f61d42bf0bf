package node

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/position"
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
	if subject, progress := report.Rows[0].Subject, report.Orders[0]; subject.Order == 0 || subject.Version != "" || progress.Order == 0 || progress.Version != "" {
		t.Errorf("got subject %+v and progress %+v, want both with the number and without the version of an order", subject, progress)
	}
}

// TestReplyOfFormerVersionIsDecoded checks that a reply of a version that states neither the version
// of an order nor the era of a record is decoded, and that its grant is applied.
func TestReplyOfFormerVersionIsDecoded(t *testing.T) {
	grant := wiretest.DecodePreviousGob[rollout.Reply](t, "rollout.report.response").Grants[0]
	if grant.Version != "" || grant.Record.Era != 0 || grant.Bad == "" {
		t.Errorf("got grant %+v, want evidence, no version and no era", grant)
	}
	table := rollout.NewTable()
	order := rollout.Order{Service: grant.Service, Version: "v2", Duration: time.Second, Written: position.Position{Era: 3, Revision: grant.Order}}
	table.SetOrder(0, order)
	table.Merge(0, grant)
	if got := table.Lookup(grant.Service).Bad; got != grant.Bad {
		t.Errorf("got evidence %q, want %q", got, grant.Bad)
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
