package registry

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/position"
)

// leafStartedAt returns the leaf "a" with a start time in seconds; zero for none.
func leafStartedAt(startSecond int, revision uint64) Leaf {
	leaf := leafAt("a", "x", 1, 1)
	leaf.Written.Revision = revision
	if startSecond > 0 {
		leaf.StartedAt = time.Unix(int64(startSecond), 0)
	}
	return leaf
}

// soleUsable returns the only usable incarnation, or an empty string if there is none.
func (t *Table) soleUsable() string {
	for incarnation := range usableLeaves(t.Topology()) {
		return incarnation
	}
	return ""
}

func TestIncarnationNames(t *testing.T) {
	for _, test := range []struct {
		id   string
		born int64
		want string
	}{{"i-1", 0, "i-1"}, {"i-1", 1764700000000, "i-1@1764700000000"}, {"i@7", 0, "i@7@0"}, {"i@7", 5, "i@7@5"}} {
		leaf := Leaf{ID: test.id}
		if test.born > 0 {
			leaf.StartedAt = time.UnixMilli(test.born)
		}
		if got := leaf.Incarnation(); got != test.want || LeafID(got) != test.id {
			t.Errorf("leaf %q started at %d: got incarnation %q with ID %q, want %q", test.id, test.born, got, LeafID(got), test.want)
		}
	}
}

// TestNewIncarnationInheritsNoState checks that a restarted leaf is usable although its previous
// incarnation drained, is cold only if it announces so, and has another name than the previous one.
func TestNewIncarnationInheritsNoState(t *testing.T) {
	table := NewTable(config, newTestIndex())
	previous := leafStartedAt(10, 5)
	previous.Draining, previous.Cold = true, time.Hour
	table.Set(0, previous)
	if got := table.soleUsable(); got != "" {
		t.Fatalf("usable incarnation: got %q, want none", got)
	}
	table.Set(time.Second, leafStartedAt(20, 9))
	if got := table.soleUsable(); got != "a@20000" {
		t.Fatalf("usable incarnation: got %q, want \"a@20000\"", got)
	}
	if cold := table.Topology().Leaves[0].ColdUntil; cold != 0 {
		t.Errorf("cold until: got %v, want 0", cold)
	}
	if _, _, exists := table.VersionAndZone("a@10000"); exists {
		t.Error("VersionAndZone finds the previous incarnation, want only the current one")
	}
}

// TestStaleIncarnationIsRejected guards against an older start that replaces a newer one: by a
// delayed write, by a stale copy of the store, after the entry was removed, or by an entry without
// a start time. A repeated announcement of the newest start is accepted.
func TestStaleIncarnationIsRejected(t *testing.T) {
	for name, test := range map[string]struct {
		removed bool
		update  Leaf
		want    string
	}{
		"late write":          {false, leafStartedAt(10, 12), "a@20000"},
		"late write, gone":    {true, leafStartedAt(10, 12), ""},
		"no start time":       {false, leafStartedAt(0, 12), ""},
		"no start time, gone": {true, leafStartedAt(0, 12), ""},
		"same start":          {false, leafStartedAt(20, 12), "a@20000"},
		"same start, gone":    {true, leafStartedAt(20, 12), "a@20000"},
		"newer start":         {false, leafStartedAt(30, 12), "a@30000"},
	} {
		table := NewTable(config, newTestIndex())
		table.Set(0, leafStartedAt(10, 5))
		table.Set(0, leafStartedAt(20, 9))
		if test.removed {
			table.Remove(time.Minute, "a")
		}
		table.Set(time.Minute, test.update)
		if got := table.soleUsable(); got != test.want {
			t.Errorf("%s: usable incarnation: got %q, want %q", name, got, test.want)
		}
		stale := NewTable(config, newTestIndex())
		stale.Set(0, leafStartedAt(20, 9))
		stale.Replace(time.Minute, []Leaf{leafStartedAt(10, 5)})
		if got := stale.soleUsable(); got != "a@20000" {
			t.Errorf("stale copy: usable incarnation: got %q, want \"a@20000\"", got)
		}
	}
}

// TestStartTimesExpire checks that start times are dropped some time after the last announcement,
// so that their number is bounded.
func TestStartTimesExpire(t *testing.T) {
	table := NewTable(config, newTestIndex())
	table.Set(0, leafStartedAt(10, 5))
	table.Remove(time.Second, "a")
	table.Expire(time.Second + startTimeRetention)
	if len(table.startTimes) != 0 {
		t.Errorf("start times after their retention: got %v, want none", table.startTimes)
	}
}

// TestLeafRestartedAfterRolloutIsUsable checks that a leaf of the old version that starts after the
// end of a rollout is not excluded as one that is about to be stopped.
func TestLeafRestartedAfterRolloutIsUsable(t *testing.T) {
	table := NewTable(config, newTestIndex())
	previous, target := leafStartedAt(10, 5), leafAt("b", "x", 2, 6)
	previous.Version, target.Version = "v1", "v2"
	table.Set(0, previous)
	table.Set(0, target)
	table.SetStages(map[string]Stage{"x": {Order: 7, Version: "v2", Phase: rollout.PhaseCompleted, Recorded: position.Position{Revision: 8}}})
	if _, usable := usableLeaves(table.Topology())["a@10000"]; usable {
		t.Error("leaf of the old version is usable after the rollout, want it excluded")
	}
	restarted := leafStartedAt(20, 9)
	restarted.Version = "v1"
	table.Set(0, restarted)
	if _, usable := usableLeaves(table.Topology())["a@20000"]; !usable {
		t.Error("leaf of the old version that started after the rollout is not usable, want it usable")
	}
}
