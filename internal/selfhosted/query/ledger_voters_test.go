package query

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestVoterChangeFencesEarlierIDs checks that after a change of the voting set the ledger
// refuses ids that a previous owner may have run: all ids until the new ownership is
// proved, and afterwards the ids created before it.
func TestVoterChangeFencesEarlierIDs(t *testing.T) {
	f := newFixturePastFence(t)
	changedCatalog := exampleCatalog()
	changedCatalog.Revision, changedCatalog.VotersRevision = 10, 10
	changedCatalog.Voters = newVoters("node-a1", "node-b1")
	f.catalogs.current = changedCatalog
	f.runner.SetVoters(changedCatalog)
	f.ownershipProved = false
	old := f.newInsert()
	_, err := f.runner.Query(context.Background(), "rate-desk", old)
	requireUnavailable(t, "suspended", err)
	if !strings.Contains(err.Error(), "(suspended): the voters") {
		t.Errorf("got %v, want the description of the reason \"suspended\"", err)
	}
	f.ownershipProved = true
	_, err = f.runner.Query(context.Background(), "rate-desk", old)
	requireUnavailable(t, "fenced", err)
	f.advance(time.Minute)
	if _, err := f.runner.Query(context.Background(), "rate-desk", f.newInsert()); err != nil {
		t.Errorf("past the fence: got %v, want no error", err)
	}
	if f.scatterer.executions != 1 {
		t.Errorf("got %d executions, want 1", f.scatterer.executions)
	}
}

// TestBeginInstallsNewerVoters covers a catalog whose new voting set is current before
// SetVoters passed it to the ledger. An id that another node owned until then must not
// run.
func TestBeginInstallsNewerVoters(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsertFor("node-b1")
	changedCatalog := exampleCatalog()
	changedCatalog.Revision, changedCatalog.VotersRevision = 10, 10
	changedCatalog.Voters = newVoters("node-a1", "node-c1")
	f.catalogs.current = changedCatalog
	for owner := f.findOwner(request); owner != "node-a1"; owner = f.findOwner(request) {
		f.catalogs.current = exampleCatalog()
		request = f.newInsertFor("node-b1")
		f.catalogs.current = changedCatalog
	}
	f.ownershipProved = false
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireUnavailable(t, "new voters", err)
	if f.scatterer.executions != 0 {
		t.Error("the query ran, want it refused")
	}
}

// TestBeginRefusesOutdatedVoters covers a request that was planned on a catalog with an
// older voting set than the ledger has.
func TestBeginRefusesOutdatedVoters(t *testing.T) {
	f := newFixturePastFence(t)
	request := f.newInsert()
	changedCatalog := exampleCatalog()
	changedCatalog.Revision, changedCatalog.VotersRevision = 10, 10
	changedCatalog.Voters = newVoters("node-a1", "node-b1", "node-c1", "node-d1")
	f.runner.SetVoters(changedCatalog)
	f.advance(time.Minute)
	request.RequestID = f.newRequestID("node-a1")
	// The query is planned on the catalog of revision 9.
	_, err := f.runner.Query(context.Background(), "rate-desk", request)
	requireUnavailable(t, "outdated", err)
	if f.scatterer.executions != 0 {
		t.Error("the query ran, want it refused")
	}
}

// TestRevertedVoterChangeSuspendsLedger covers a node that missed two changes of the voting
// set that cancel each other out. A node that owned the ids in between may have run them.
func TestRevertedVoterChangeSuspendsLedger(t *testing.T) {
	f := newFixturePastFence(t)
	changedCatalog := exampleCatalog()
	changedCatalog.Revision, changedCatalog.VotersRevision = 11, 11
	f.catalogs.current = changedCatalog
	f.runner.SetVoters(changedCatalog)
	f.ownershipProved = false
	_, err := f.runner.Query(context.Background(), "rate-desk", f.newInsert())
	requireUnavailable(t, "changed back", err)
	if f.scatterer.executions != 0 {
		t.Error("the query ran, want it refused")
	}
}

// TestOwnershipLostAfterDecision checks that a decision is void if the voting set changed
// between the decision and the check of freshness that follows it.
func TestOwnershipLostAfterDecision(t *testing.T) {
	f := newFixturePastFence(t)
	changedCatalog := exampleCatalog()
	changedCatalog.Revision, changedCatalog.VotersRevision = 10, 10
	changedCatalog.Voters = newVoters("node-b1", "node-c1")
	f.runner.config.Catalogs = &voterChangingCatalogSource{fakeCatalogSource: f.catalogs, change: func() { f.runner.SetVoters(changedCatalog) }}
	_, err := f.runner.Query(context.Background(), "rate-desk", f.newInsert())
	requireUnavailable(t, "ownership ended", err)
	if f.scatterer.executions != 0 {
		t.Error("the query ran, want it refused")
	}
}

// voterChangingCatalogSource calls change at the second call of Fresh, which follows the
// decision of the ledger.
type voterChangingCatalogSource struct {
	*fakeCatalogSource
	freshCalls int
	change     func()
}

func (s *voterChangingCatalogSource) Fresh() bool {
	if s.freshCalls++; s.freshCalls == 2 {
		s.change()
	}
	return true
}
