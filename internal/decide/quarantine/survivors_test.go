package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newHeldScenario returns a scenario in which this node holds a request.
func newHeldScenario(t *testing.T, content Content) *scenario {
	t.Helper()
	s := newScenario(t)
	s.table.RecordCrashes(s.now, content, "r", s.newCrashes(3))
	s.crashTrial(content, 0.05)
	if !s.crashTrial(content, 0.05) {
		t.Fatal("request not held after two trials")
	}
	return s
}

// announcedLeaves reports all unresolved leaves as announced, or none of them.
func (s *scenario) announcedLeaves(all bool) map[string]bool {
	announced := make(map[string]bool)
	for _, leaf := range s.table.UnresolvedLeaves() {
		announced[leaf] = all
	}
	return announced
}

// TestSurvivorsReleaseHeldRequest checks that leaves that are still announced after their
// announcements would have expired release the request and clear the stored hold, while leaves that
// are gone keep it held.
func TestSurvivorsReleaseHeldRequest(t *testing.T) {
	s := newHeldScenario(t, harmlessContent)
	s.table.DetectSurvivors(s.now, s.announcedLeaves(true))
	if decision := s.requireVerdict(harmlessContent, Refuse); decision.RetryAfter != announcementExpiry {
		t.Errorf("decision %+v before survivors are known, want RetryAfter %v", decision, announcementExpiry)
	}
	s.now += announcementExpiry
	released := 0
	for _, survivor := range s.table.DetectSurvivors(s.now, s.announcedLeaves(true)) {
		if survivor.Released {
			released++
		}
	}
	if released != 1 {
		t.Errorf("released %d times, want once", released)
	}
	s.requireVerdict(harmlessContent, Run)
	change, pending := s.table.PendingChange(harmlessContent)
	if !pending || change.Record.Held || change.Record.countCrashedLeaves() != 0 {
		t.Errorf("change %+v, pending %v, want one without a hold and without crashed leaves", change, pending)
	}
	goneLeaves := newHeldScenario(t, crashingContent)
	goneLeaves.now += announcementExpiry
	if survivors := goneLeaves.table.DetectSurvivors(goneLeaves.now, goneLeaves.announcedLeaves(false)); len(survivors) > 0 {
		t.Errorf("survivors %v, want none of the leaves that are gone", survivors)
	}
	goneLeaves.requireVerdict(crashingContent, Refuse)
}

// TestSingleSurvivorReleasesHeldRequest checks that one survivor releases a request if the odds of
// the remaining trials are too low. The request stays suspected, and is tried again.
func TestSingleSurvivorReleasesHeldRequest(t *testing.T) {
	s := newHeldScenario(t, harmlessContent)
	announcedLeaves := s.announcedLeaves(false)
	announcedLeaves["leaf-5"] = true
	s.now += announcementExpiry
	s.table.DetectSurvivors(s.now, announcedLeaves)
	s.requireVerdict(harmlessContent, Trial)
}

// TestEachNodeDetectsSurvivors checks that a node that reads a record refuses the request until the
// leaves' announcements would have expired, then releases it without writing the record.
func TestEachNodeDetectsSurvivors(t *testing.T) {
	s := newHeldScenario(t, harmlessContent)
	change, _ := s.table.PendingChange(harmlessContent)
	otherNode := newScenario(t)
	otherNode.table.ApplyStored(otherNode.now, harmlessContent, StoredRecord{Record: change.Record, Written: at(7)})
	otherNode.requireVerdict(harmlessContent, Refuse)
	otherNode.now += announcementExpiry
	if survivors := otherNode.table.DetectSurvivors(otherNode.now, otherNode.announcedLeaves(true)); len(survivors) != 5 {
		t.Errorf("%d survivors, want 5", len(survivors))
	}
	otherNode.requireVerdict(harmlessContent, Run)
	if len(otherNode.table.PendingWrites()) > 0 {
		t.Error("node writes survivors that it did not lose itself")
	}
	otherNode.table.ApplyStored(otherNode.now, harmlessContent, StoredRecord{Record: change.Record, Written: at(8)})
	otherNode.requireVerdict(harmlessContent, Run)
	s.now += announcementExpiry
	s.table.DetectSurvivors(s.now, s.announcedLeaves(true))
	update, _ := s.table.PendingChange(harmlessContent)
	lateNode := newScenario(t)
	lateNode.table.ApplyStored(lateNode.now, harmlessContent, StoredRecord{Record: update.Record, Written: at(9)})
	lateNode.requireVerdict(harmlessContent, Run)
}

// TestRecordWithoutTrialCrashesStaysHeld checks that a record of a previous version, without the
// crashes that trials observed, keeps the request held.
func TestRecordWithoutTrialCrashesStaysHeld(t *testing.T) {
	s := newScenario(t)
	s.table.ApplyStored(s.now, crashingContent, StoredRecord{Record: Record{Crashes: s.newCrashes(3), Odds: 400, Trials: 2, Held: true}, Written: at(5)})
	s.now += announcementExpiry
	s.table.DetectSurvivors(s.now, s.announcedLeaves(false))
	s.requireVerdict(crashingContent, Refuse)
}

// TestTrialCrashesReplaceOthersInFullRecord guards against a record that is full of crashes that no
// trial observed, and therefore could not take those of trials.
func TestTrialCrashesReplaceOthersInFullRecord(t *testing.T) {
	s := newScenario(t)
	s.table.RecordCrashes(s.now, crashingContent, "r", s.newCrashes(maxCrashes+3))
	s.crashTrial(crashingContent, 0.05)
	if !s.crashTrial(crashingContent, 0.05) {
		t.Error("request not held after two trials")
	}
}

// resetFleet is a group of nodes that lose connections to a few incarnations, all of which survive.
type resetFleet struct {
	*fleet
	leaves []string
	sent   int
}

// sendRequest sends a request to a node, whose attempt at a leaf loses its connection.
func (r *resetFleet) sendRequest(node int, leaf string) {
	table := r.tables[node]
	decision := table.Admit(r.now, crashingContent)
	if decision.Verdict == Refuse {
		return
	}
	if decision.Verdict == Trial && !r.store.write(decision.Change) {
		table.CancelTrial(crashingContent)
		r.readStore(node)
		return
	}
	r.sent++
	sent := r.now
	r.now += time.Millisecond
	crash, crashed := table.RecordLoss(leaf, sent, r.now)
	crashes := []Crash{{Leaf: crash, Request: fmt.Sprint(r.sent)}}
	switch {
	case decision.Verdict == Trial && crashed:
		table.MarkWritten(r.now, decision.Change, at(r.store.revision))
		table.RecordTrialCrash(r.now, crashingContent, crashes, 0.05)
	case decision.Verdict == Trial:
		table.MarkWritten(r.now, decision.Change, at(r.store.revision))
		table.RecordInconclusiveTrial(r.now, crashingContent)
	case crashed:
		table.RecordCrashes(r.now, crashingContent, "r", crashes)
	}
}

// TestConnectionResetsReleaseRequest guards against lasting holds because of connection resets.
// Nodes lose connections to leaves that survive, interleaved with writes and reads: two
// incarnations must never be enough for a hold, and a request that is held because of more must run
// again at all nodes once the announcements have outlasted three heartbeats.
func TestConnectionResetsReleaseRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		r := &resetFleet{fleet: &fleet{T: t}}
		for leaf := range rapid.IntRange(1, 8).Draw(t, "leaves") {
			r.leaves = append(r.leaves, fmt.Sprint("leaf-", leaf))
		}
		for node := range nodes {
			r.tables = append(r.tables, NewTable(DefaultConfig(fmt.Sprint("node-", node))))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				r.sendRequest(node, rapid.SampledFrom(r.leaves).Draw(t, "leaf"))
			case 1:
				r.flush(node)
			case 2:
				r.readStore(node)
			case 3:
				r.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			}
			if _, held := r.tables[node].Len(); held > 0 && len(r.leaves) < 3 {
				t.Fatalf("request held after losses of %d incarnations, want at least 3", len(r.leaves))
			}
		}
		announced := make(map[string]bool)
		for _, leaf := range r.leaves {
			announced[leaf] = true
		}
		for range 3 {
			for node := range nodes {
				r.flush(node)
				r.readStore(node)
				r.tables[node].DetectSurvivors(r.now, announced)
			}
			r.now += announcementExpiry
		}
		for node := range nodes {
			if got := r.tables[node].Admit(r.now, crashingContent); got.Verdict != Run {
				t.Fatalf("node %d: decision %+v, want the request to run", node, got)
			}
		}
	})
}
