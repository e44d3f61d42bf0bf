package registry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestCordonAppliesToLaterLeaves(t *testing.T) {
	table := NewTable(config, newTestIndex())
	leaf := leafAt("a", "x", 1, 1)
	leaf.Zone = "north"
	table.Set(0, leaf)
	if !table.SetCordon(0, "north", true) || table.SetCordon(0, "north", true) {
		t.Error("SetCordon(north, true) twice: want true, then false")
	}
	laterLeaf := leafAt("b", "x", 2, 2)
	laterLeaf.Zone = "north"
	table.Set(0, laterLeaf)
	if usable := usableLeaves(table.Topology()); len(usable) != 0 {
		t.Errorf("usable leaves of a cordoned zone: got %v, want none", usable)
	}
	table.SetCordon(0, "north", false)
	if usable := usableLeaves(table.Topology()); len(usable) != 2 {
		t.Errorf("usable leaves once the zone is uncordoned: got %v, want a and b", usable)
	}
}

func TestStaleCordonListRemovesNoCordon(t *testing.T) {
	table := NewTable(config, newTestIndex())
	table.SetCordon(0, "north", true)
	if changed := table.ReplaceCordons(0, []string{"south"}, true); !slices.Equal(changed, []string{"south"}) {
		t.Errorf("zones changed by a stale list: got %v, want [south]", changed)
	}
	if got := table.Cordoned(); !slices.Equal(got, []string{"north", "south"}) {
		t.Errorf("cordoned zones after a stale list: got %v, want [north south]", got)
	}
	if changed := table.ReplaceCordons(0, []string{"south"}, false); !slices.Equal(changed, []string{"north"}) {
		t.Errorf("zones changed by a fresh list: got %v, want [north]", changed)
	}
}

// storeModel is the content of the store, of which a Table is informed.
type storeModel struct {
	leaves  map[string]Leaf
	cordons map[string]bool
}

func (m storeModel) clone() storeModel {
	return storeModel{leaves: maps.Clone(m.leaves), cordons: maps.Clone(m.cordons)}
}

// replaceTable replaces the content of a table by that of the store, as after a compaction or at a
// start.
func (m storeModel) replaceTable(table *Table, now time.Duration, stale bool) {
	table.Replace(now, slices.Collect(maps.Values(m.leaves)))
	table.ReplaceCordons(now, slices.Sorted(maps.Keys(m.cordons)), stale)
}

// TestCordonUnderRandomEvents checks that no leaf of a cordoned zone is usable, and that every
// announced leaf of another zone is usable unless it drains. Zones are cordoned and uncordoned at
// random; leaves appear, drain, expire in outages and disappear; the history of the store is lost;
// and tables start from a fresh or a stale copy.
func TestCordonUnderRandomEvents(t *testing.T) {
	zones := []string{"north", "south", "west"}
	rapid.Check(t, func(t *rapid.T) {
		model := storeModel{leaves: make(map[string]Leaf), cordons: make(map[string]bool)}
		staleCopy := model.clone()
		table := NewTable(config, newTestIndex())
		now := time.Hour
		staleStart := false
		anyID := func() string { return fmt.Sprint("leaf-", rapid.IntRange(0, 5).Draw(t, "leaf")) }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1: // announced for the first time or again
				id := anyID()
				announced, exists := model.leaves[id]
				if !exists {
					number := int(id[len(id)-1])
					announced = leafAt(id, "x", number, uint64(now))
					announced.Zone = rapid.SampledFrom(zones).Draw(t, "zone")
				}
				model.leaves[id] = announced
				table.Set(now, announced)
			case 2: // starts to drain
				id := anyID()
				if draining, exists := model.leaves[id]; exists {
					draining.Draining = true
					model.leaves[id] = draining
					table.Set(now, draining)
				}
			case 3: // removed, possibly by an expired lease around an outage
				id := anyID()
				if rapid.Bool().Draw(t, "outage") {
					table.RecordOutage(now)
				}
				delete(model.leaves, id)
				table.Remove(now, id)
			case 4, 5:
				zone := rapid.SampledFrom(zones).Draw(t, "cordoned")
				model.cordons[zone] = true
				table.SetCordon(now, zone, true)
				staleCopy = model.clone()
			case 6:
				zone := rapid.SampledFrom(zones).Draw(t, "uncordoned")
				delete(model.cordons, zone)
				table.SetCordon(now, zone, false)
			case 7: // the history was compacted
				model.replaceTable(table, now, false)
				staleStart = false
			case 8: // a new process starts
				table = NewTable(config, newTestIndex())
				if staleStart = rapid.Bool().Draw(t, "from a stale copy"); staleStart {
					staleCopy.replaceTable(table, now, true)
				}
				model.replaceTable(table, now, staleStart)
			}
			table.Expire(now)
			checkCordons(t, model, table, staleStart)
		}
	})
}

func checkCordons(t *rapid.T, model storeModel, table *Table, staleStart bool) {
	usable := usableLeaves(table.Topology())
	for id := range usable {
		if entry := table.entries[id]; model.cordons[entry.Zone] {
			t.Fatalf("leaf %s is usable in the cordoned zone %s", id, entry.Zone)
		}
	}
	for id, announced := range model.leaves {
		_, isUsable := usable[id]
		if want := !announced.Draining && !model.cordons[announced.Zone]; want && !isUsable && !staleStart {
			t.Fatalf("leaf %s is not usable in zone %s, want it usable", id, announced.Zone)
		}
	}
}
