package registry

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/rollout"
)

// bornAt is a leaf of the id "a" that started at a second.
func bornAt(second int, revision uint64) Leaf {
	leaf := leafAt("a", "x", 1, 1)
	leaf.Revision = revision
	if second > 0 {
		leaf.Born = time.Unix(int64(second), 0)
	}
	return leaf
}

// only returns the one incarnation that may get work, or none.
func (t *Table) only() string {
	for incarnation := range usable(t.Topology()) {
		return incarnation
	}
	return ""
}

func TestNamesOfIncarnations(t *testing.T) {
	for _, test := range []struct {
		id   string
		born int64
		want string
	}{{"i-1", 0, "i-1"}, {"i-1", 1764700000000, "i-1@1764700000000"}, {"i@7", 0, "i@7@0"}, {"i@7", 5, "i@7@5"}} {
		leaf := Leaf{ID: test.id}
		if test.born > 0 {
			leaf.Born = time.UnixMilli(test.born)
		}
		if got := leaf.Incarnation(); got != test.want || IDOf(got) != test.id {
			t.Errorf("%q at %d: %q, of %q", test.id, test.born, got, IDOf(got))
		}
	}
}

// TestNextStartKnowsNothingOfBefore: it takes work though the former drained, is cold
// by its own word alone, and is another leaf to whoever learned of the former.
func TestNextStartKnowsNothingOfBefore(t *testing.T) {
	table := NewTable(config, named())
	former := bornAt(10, 5)
	former.Draining, former.Cold = true, time.Hour
	table.Set(0, former)
	if got := table.only(); got != "" {
		t.Fatalf("%q takes work", got)
	}
	table.Set(time.Second, bornAt(20, 9))
	if got := table.only(); got != "a@20000" {
		t.Fatalf("%q takes work", got)
	}
	if cold := table.Topology().Leaves[0].ColdUntil; cold != 0 {
		t.Errorf("cold until %v", cold)
	}
	if _, _, known := table.Version("a@10000"); known {
		t.Error("what a former start did counts for this one")
	}
}

// TestFormerStartIsNotBroughtBack by a write that comes late, by a copy of the store
// that is behind, after the entry went, or by an entry that does not say of which
// start it is; what is heard again of the newest is heard.
func TestFormerStartIsNotBroughtBack(t *testing.T) {
	for name, test := range map[string]struct {
		gone bool
		then Leaf
		want string
	}{
		"late write":           {false, bornAt(10, 12), "a@20000"},
		"late write, gone":     {true, bornAt(10, 12), ""},
		"no word of the start": {false, bornAt(0, 12), ""},
		"no word, gone":        {true, bornAt(0, 12), ""},
		"the same":             {false, bornAt(20, 12), "a@20000"},
		"the same, gone":       {true, bornAt(20, 12), "a@20000"},
		"the next":             {false, bornAt(30, 12), "a@30000"},
	} {
		table := NewTable(config, named())
		table.Set(0, bornAt(10, 5))
		table.Set(0, bornAt(20, 9))
		if test.gone {
			table.Remove(time.Minute, "a")
		}
		table.Set(time.Minute, test.then)
		if got := table.only(); got != test.want {
			t.Errorf("%s: %q takes work, want %q", name, got, test.want)
		}
		stale := NewTable(config, named())
		stale.Set(0, bornAt(20, 9))
		stale.Replace(time.Minute, []Leaf{bornAt(10, 5)})
		if got := stale.only(); got != "a@20000" {
			t.Errorf("a copy that is behind: %q takes work", got)
		}
	}
}

// TestBirthsAreForgotten some time after the last word, so that their number is
// bounded.
func TestBirthsAreForgotten(t *testing.T) {
	table := NewTable(config, named())
	table.Set(0, bornAt(10, 5))
	table.Remove(time.Second, "a")
	table.Expire(time.Second + birthMemory)
	if len(table.births) != 0 {
		t.Errorf("%v", table.births)
	}
}

// TestNextStartAfterARollout is no leaf that is about to be stopped.
func TestNextStartAfterARollout(t *testing.T) {
	table := NewTable(config, named())
	former, fresh := bornAt(10, 5), leafAt("b", "x", 2, 6)
	former.Version, fresh.Version = "v1", "v2"
	table.Set(0, former)
	table.Set(0, fresh)
	table.SetStages(map[string]Stage{"x": {Order: 7, Version: "v2", Phase: rollout.PhaseCompleted, Recorded: 8}})
	if _, taken := usable(table.Topology())["a@10000"]; taken {
		t.Error("the former version takes work")
	}
	again := bornAt(20, 9)
	again.Version = "v1"
	table.Set(0, again)
	if _, taken := usable(table.Topology())["a@20000"]; !taken {
		t.Error("a leaf that started after the roll-out takes none")
	}
}
