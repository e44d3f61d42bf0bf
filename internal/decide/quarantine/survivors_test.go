package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// held returns a play in which this node held a request.
func held(t *testing.T, content Content) *play {
	t.Helper()
	p := newPlay(t)
	p.table.Suspect(p.now, content, "r", p.leaves(3))
	p.fail(content, 0.05)
	if !p.fail(content, 0.05) {
		t.Fatal("not held")
	}
	return p
}

// announced says that all leaves in question are announced, or that none is.
func (p *play) announced(all bool) map[string]bool {
	found := make(map[string]bool)
	for _, leaf := range p.table.Suspects() {
		found[leaf] = all
	}
	return found
}

// TestSurvivorsReleaseARequest: leaves that are still announced when they would have
// lapsed did not crash under it, and the store is told; those that are gone did.
func TestSurvivorsReleaseARequest(t *testing.T) {
	p := held(t, good)
	p.table.Review(p.now, p.announced(true))
	if wait := p.require(good, Refuse); wait.RetryAfter != lapse {
		t.Errorf("while nothing is known of its leaves: %+v", wait)
	}
	p.now += lapse
	released := 0
	for _, one := range p.table.Review(p.now, p.announced(true)) {
		if one.Released {
			released++
		}
	}
	if released != 1 {
		t.Errorf("released %d times", released)
	}
	p.require(good, Run)
	change, wanted := p.table.Change(good)
	if !wanted || change.Record.Held || change.Record.crashed() != 0 {
		t.Errorf("change %+v, %v", change, wanted)
	}
	gone := held(t, bad)
	gone.now += lapse
	if survivors := gone.table.Review(gone.now, gone.announced(false)); len(survivors) > 0 {
		t.Errorf("%v lived on", survivors)
	}
	gone.require(bad, Refuse)
}

// TestOneSurvivorReleasesARequest where the trials prove too little without it: it is
// suspected still, and tried.
func TestOneSurvivorReleasesARequest(t *testing.T) {
	p := held(t, good)
	announced := p.announced(false)
	announced["leaf-5"] = true
	p.now += lapse
	p.table.Review(p.now, announced)
	p.require(good, Trial)
}

// TestOtherNodesSeeSurvivorsThemselves, without a write of each: a node that starts and
// finds a record refuses until its leaves would have lapsed.
func TestOtherNodesSeeSurvivorsThemselves(t *testing.T) {
	p := held(t, good)
	change, _ := p.table.Change(good)
	other := newPlay(t)
	other.table.Set(other.now, good, Known{Record: change.Record, Revision: 7})
	other.require(good, Refuse)
	other.now += lapse
	if survivors := other.table.Review(other.now, other.announced(true)); len(survivors) != 5 {
		t.Errorf("%d survivors", len(survivors))
	}
	other.require(good, Run)
	if len(other.table.Unwritten()) > 0 {
		t.Error("it writes what the others see, too")
	}
	other.table.Set(other.now, good, Known{Record: change.Record, Revision: 8})
	other.require(good, Run)
	p.now += lapse
	p.table.Review(p.now, p.announced(true))
	told, _ := p.table.Change(good)
	late := newPlay(t)
	late.table.Set(late.now, good, Known{Record: told.Record, Revision: 9})
	late.require(good, Run)
}

// TestRecordOfAFormerVersionHolds: nodes that do not say which crashes trials saw.
func TestRecordOfAFormerVersionHolds(t *testing.T) {
	p := newPlay(t)
	p.table.Set(p.now, bad, Known{Record: Record{Crashes: p.leaves(3), Odds: 400, Trials: 2, Held: true}, Revision: 5})
	p.now += lapse
	p.table.Review(p.now, p.announced(false))
	p.require(bad, Refuse)
}

// TestRoomIsKeptForTrials: a record is full of leaves that no trial lost.
func TestRoomIsKeptForTrials(t *testing.T) {
	p := newPlay(t)
	p.table.Suspect(p.now, bad, "r", p.leaves(maxCrashes+3))
	p.fail(bad, 0.05)
	if !p.fail(bad, 0.05) {
		t.Error("not held")
	}
}

// resets is some nodes that lose connections to a few starts of leaves, which live on.
type resets struct {
	*fleet
	leaves []string
	sent   int
}

// ask sends a request to one node, whose attempt at a leaf is lost.
func (r *resets) ask(node int, leaf string) {
	table := r.tables[node]
	decision := table.Admit(r.now, bad)
	if decision.Verdict == Refuse {
		return
	}
	if decision.Verdict == Trial && !r.store.write(decision.Change) {
		table.Withdraw(bad)
		r.hear(node)
		return
	}
	r.sent++
	sent := r.now
	r.now += time.Millisecond
	crash, crashed := table.Lost(leaf, sent, r.now)
	crashes := []Crash{{Leaf: crash, Request: fmt.Sprint(r.sent)}}
	switch {
	case decision.Verdict == Trial && crashed:
		table.Written(r.now, decision.Change, r.store.revision)
		table.TrialCrashed(r.now, bad, crashes, 0.05)
	case decision.Verdict == Trial:
		table.Written(r.now, decision.Change, r.store.revision)
		table.TrialInconclusive(r.now, bad)
	case crashed:
		table.Suspect(r.now, bad, "r", crashes)
	}
}

// TestResetsHoldNothingForLong lets connections to leaves that live on be reset, for all
// nodes, in any order with what these write and hear: two starts are never enough to have
// a request held, and whatever is held because of more runs again once their announcements
// have outlasted three heartbeats, at all nodes.
func TestResetsHoldNothingForLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		r := &resets{fleet: &fleet{T: t}}
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
				r.ask(node, rapid.SampledFrom(r.leaves).Draw(t, "leaf"))
			case 1:
				r.flush(node)
			case 2:
				r.hear(node)
			case 3:
				r.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			}
			if _, held := r.tables[node].Len(); held > 0 && len(r.leaves) < 3 {
				t.Fatalf("held for %d starts", len(r.leaves))
			}
		}
		announced := make(map[string]bool)
		for _, leaf := range r.leaves {
			announced[leaf] = true
		}
		for range 3 {
			for node := range nodes {
				r.flush(node)
				r.hear(node)
				r.tables[node].Review(r.now, announced)
			}
			r.now += lapse
		}
		for node := range nodes {
			if got := r.tables[node].Admit(r.now, bad); got.Verdict != Run {
				t.Fatalf("node %d: %+v", node, got)
			}
		}
	})
}
