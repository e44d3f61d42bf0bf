package query

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestFenceAfterAVoterChange refuses ids that another owner may have run, until
// the new ownership is proved and the id is younger than it.
func TestVoterChangeFencesEarlierIDs(t *testing.T) {
	f := newFixturePastFence(t)
	changed := exampleCatalog()
	changed.Revision, changed.VotersRevision = 10, 10
	changed.Voters = newVoters("node-a1", "node-b1")
	f.catalogs.current = changed
	f.runner.SetVoters(changed)
	f.ownershipProved = false
	old := f.newInsert()
	_, err := f.runner.Query(context.Background(), "rate-desk", old)
	requireUnavailable(t, "suspended", err)
	if !strings.Contains(err.Error(), "(suspended): the voters") {
		t.Errorf("got %v", err)
	}
	f.ownershipProved = true
	_, err = f.runner.Query(context.Background(), "rate-desk", old)
	requireUnavailable(t, "fenced", err)
	f.advance(time.Minute)
	if _, err := f.runner.Query(context.Background(), "rate-desk", f.newInsert()); err != nil {
		t.Errorf("past the fence: %v", err)
	}
	if f.scatterer.calls != 1 {
		t.Errorf("%d runs", f.scatterer.calls)
	}
}

// TestVotersThatTheLedgerDoesNotKnowYet has a catalog with another voting set
// that is current already, before the ledger was notified of it: the id, which
// another node owned until now, must not run.
func TestBeginInstallsNewerVoters(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsertFor("node-b1")
	changed := exampleCatalog()
	changed.Revision, changed.VotersRevision = 10, 10
	changed.Voters = newVoters("node-a1", "node-c1")
	f.catalogs.current = changed
	for owner := f.findOwner(request); owner != "node-a1"; owner = f.findOwner(request) {
		f.catalogs.current = exampleCatalog()
		request = f.newInsertFor("node-b1")
		f.catalogs.current = changed
	}
	f.ownershipProved = false
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireUnavailable(t, "new voters", err)
	if f.scatterer.calls != 0 {
		t.Error("it ran")
	}
}

// TestVotersThatAreOutdated has a request that was planned on a catalog which
// the ledger has left behind.
func TestBeginRefusesOutdatedVoters(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	changed := exampleCatalog()
	changed.Revision, changed.VotersRevision = 10, 10
	changed.Voters = newVoters("node-a1", "node-b1", "node-c1", "node-d1")
	f.runner.SetVoters(changed)
	f.advance(time.Minute)
	request.RequestID = f.newRequestID("node-a1")
	_, err := f.runner.Query(context.Background(), "rate-desk", request) // on the catalog of revision 9
	requireUnavailable(t, "outdated", err)
	if f.scatterer.calls != 0 {
		t.Error("it ran")
	}
}

// TestVotersThatChangedAndChangedBack has a node that missed two changes of the
// voting set, which cancel out: an owner in between may have run its ids.
func TestRevertedVoterChangeSuspendsLedger(t *testing.T) {
	f := newFixturePastFence(t)
	changed := exampleCatalog()
	changed.Revision, changed.VotersRevision = 11, 11
	f.catalogs.current = changed
	f.runner.SetVoters(changed)
	f.ownershipProved = false
	_, err := f.runner.Query(context.Background(), "rate-desk", f.newInsert())
	requireUnavailable(t, "changed back", err)
	if f.scatterer.calls != 0 {
		t.Error("it ran")
	}
}

// TestOwnershipThatEndsAfterTheDecision takes a decision back if the voting set
// changed before the node was seen fresh again.
func TestOwnershipLostAfterDecision(t *testing.T) {
	f := newFixturePastFence(t)
	changed := exampleCatalog()
	changed.Revision, changed.VotersRevision = 10, 10
	changed.Voters = newVoters("node-b1", "node-c1")
	f.runner.config.Catalogs = &voterChangingCatalogSource{fakeCatalogSource: f.catalogs, change: func() { f.runner.SetVoters(changed) }}
	_, err := f.runner.Query(context.Background(), "rate-desk", f.newInsert())
	requireUnavailable(t, "ownership ended", err)
	if f.scatterer.calls != 0 {
		t.Error("it ran")
	}
}

// changingCatalogs installs other voters at the second look at its freshness,
// which follows the decision.
type voterChangingCatalogSource struct {
	*fakeCatalogSource
	freshCalls int
	change     func()
}

func (c *voterChangingCatalogSource) Fresh() bool {
	if c.freshCalls++; c.freshCalls == 2 {
		c.change()
	}
	return true
}
