package query

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestFenceAfterAVoterChange refuses ids that another owner may have run, until
// the new ownership is proved and the id is younger than it.
func TestFenceAfterAVoterChange(t *testing.T) {
	f := settled(t)
	changed := exampleCatalog()
	changed.Revision, changed.VotersRevision = 10, 10
	changed.Voters = voters("node-a1", "node-b1")
	f.catalogs.current = changed
	f.runner.SetVoters(changed)
	f.proved = false
	old := f.filing()
	_, err := f.runner.Query(context.Background(), "rate-desk", old)
	requireUnavailable(t, "suspended", err)
	if !strings.Contains(err.Error(), "(suspended): the voters") {
		t.Errorf("got %v", err)
	}
	f.proved = true
	_, err = f.runner.Query(context.Background(), "rate-desk", old)
	requireUnavailable(t, "fenced", err)
	f.pass(time.Minute)
	if _, err := f.runner.Query(context.Background(), "rate-desk", f.filing()); err != nil {
		t.Errorf("past the fence: %v", err)
	}
	if f.scatterer.calls != 1 {
		t.Errorf("%d runs", f.scatterer.calls)
	}
}

// TestVotersThatTheLedgerDoesNotKnowYet has a catalog with another voting set
// that is current already, before the ledger was notified of it: the id, which
// another node owned until now, must not run.
func TestVotersThatTheLedgerDoesNotKnowYet(t *testing.T) {
	f := settled(t)
	request := f.filingOf("node-b1")
	changed := exampleCatalog()
	changed.Revision, changed.VotersRevision = 10, 10
	changed.Voters = voters("node-a1", "node-c1")
	f.catalogs.current = changed
	for owner := f.ownerOf(request); owner != "node-a1"; owner = f.ownerOf(request) {
		f.catalogs.current = exampleCatalog()
		request = f.filingOf("node-b1")
		f.catalogs.current = changed
	}
	f.proved = false
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireUnavailable(t, "new voters", err)
	if f.scatterer.calls != 0 {
		t.Error("it ran")
	}
}

// TestVotersThatAreOutdated has a request that was planned on a catalog which
// the ledger has left behind.
func TestVotersThatAreOutdated(t *testing.T) {
	f := settled(t)
	request := f.filing()
	changed := exampleCatalog()
	changed.Revision, changed.VotersRevision = 10, 10
	changed.Voters = voters("node-a1", "node-b1", "node-c1", "node-d1")
	f.runner.SetVoters(changed)
	f.pass(time.Minute)
	request.RequestID = f.ownedBy("node-a1")
	_, err := f.runner.Query(context.Background(), "rate-desk", request) // on the catalog of revision 9
	requireUnavailable(t, "outdated", err)
	if f.scatterer.calls != 0 {
		t.Error("it ran")
	}
}

// TestVotersThatChangedAndChangedBack has a node that missed two changes of the
// voting set, which cancel out: an owner in between may have run its ids.
func TestVotersThatChangedAndChangedBack(t *testing.T) {
	f := settled(t)
	changed := exampleCatalog()
	changed.Revision, changed.VotersRevision = 11, 11
	f.catalogs.current = changed
	f.runner.SetVoters(changed)
	f.proved = false
	_, err := f.runner.Query(context.Background(), "rate-desk", f.filing())
	requireUnavailable(t, "changed back", err)
	if f.scatterer.calls != 0 {
		t.Error("it ran")
	}
}

// TestOwnershipThatEndsAfterTheDecision takes a decision back if the voting set
// changed before the node was seen fresh again.
func TestOwnershipThatEndsAfterTheDecision(t *testing.T) {
	f := settled(t)
	changed := exampleCatalog()
	changed.Revision, changed.VotersRevision = 10, 10
	changed.Voters = voters("node-b1", "node-c1")
	f.runner.config.Catalogs = &changingCatalogs{fakeCatalogs: f.catalogs, change: func() { f.runner.SetVoters(changed) }}
	_, err := f.runner.Query(context.Background(), "rate-desk", f.filing())
	requireUnavailable(t, "ownership ended", err)
	if f.scatterer.calls != 0 {
		t.Error("it ran")
	}
}

// changingCatalogs installs other voters at the second look at its freshness,
// which follows the decision.
type changingCatalogs struct {
	*fakeCatalogs
	looks  int
	change func()
}

func (c *changingCatalogs) Fresh() bool {
	if c.looks++; c.looks == 2 {
		c.change()
	}
	return true
}
