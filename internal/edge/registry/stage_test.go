package registry

import (
	"slices"
	"testing"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/position"
)

// newTwoVersionTable returns a Table with the leaf "old" of v1 and the leaf "new" of v2 of the
// service x.
func newTwoVersionTable() *Table {
	table := NewTable(config, newTestIndex())
	for _, spec := range []struct {
		id, version string
		port        int
	}{{"old", "v1", 1}, {"new", "v2", 2}} {
		leaf := leafAt(spec.id, "x", spec.port, uint64(spec.port))
		leaf.Version, leaf.Zone = spec.version, "zone-"+spec.version
		table.Set(0, leaf)
	}
	return table
}

// usableAndCanaries returns the leaves that may get any attempt, and those that get attempts only
// within an allowance.
func usableAndCanaries(table *Table) (usable, canaries []string) {
	for _, leaf := range table.Topology().Leaves {
		switch {
		case leaf.Usable && leaf.Canary:
			canaries = append(canaries, leaf.BootID)
		case leaf.Usable:
			usable = append(usable, leaf.BootID)
		}
	}
	return usable, canaries
}

func TestRolloutPhaseSelectsLeaves(t *testing.T) {
	for _, test := range []struct {
		name             string
		stage            Stage
		usable, canaries []string
	}{
		{"no record yet", Stage{Order: 5, Version: "v2"}, []string{"old"}, []string{"new"}},
		{"trial", Stage{Order: 5, Version: "v2", Phase: rollout.PhaseTrial}, []string{"old"}, []string{"new"}},
		{"burst", Stage{Order: 5, Version: "v2", Phase: rollout.PhaseBurst}, []string{"old"}, []string{"new"}},
		{"shift", Stage{Order: 5, Version: "v2", Phase: rollout.PhaseShift}, []string{"new"}, nil},
		{"completed", Stage{Order: 5, Version: "v2", Phase: rollout.PhaseCompleted, Recorded: position.Position{Revision: 9}}, []string{"new"}, nil},
		{"completed before the leaf came", Stage{Order: 0, Version: "v2", Phase: rollout.PhaseCompleted, Recorded: position.Position{Revision: 1}}, []string{"old", "new"}, nil},
		{"rolled back", Stage{Order: 5, Version: "v2", Phase: rollout.PhaseRolledBack}, []string{"old"}, nil},
		{"withdrawn", Stage{Version: "v2", Phase: rollout.PhaseTrial}, []string{"old"}, []string{"new"}},
		{"another version", Stage{Order: 5, Version: "v3", Phase: rollout.PhaseTrial}, []string{"old", "new"}, nil},
	} {
		table := newTwoVersionTable()
		table.SetStages(map[string]Stage{"x": test.stage})
		usable, canaries := usableAndCanaries(table)
		if !slices.Equal(usable, test.usable) || !slices.Equal(canaries, test.canaries) {
			t.Errorf("%s: got usable %v, canaries %v; want usable %v, canaries %v", test.name, usable, canaries, test.usable, test.canaries)
		}
	}
}

// TestSoleVersionStaysUsable checks that there are no canaries while all leaves have the ordered
// version, until a leaf of another version was seen.
func TestSoleVersionStaysUsable(t *testing.T) {
	table := newTwoVersionTable()
	table.Remove(0, "old")
	table.SetStages(map[string]Stage{"x": {Order: 5, Version: "v2"}})
	if usable, canaries := usableAndCanaries(table); !slices.Equal(usable, []string{"new"}) || len(canaries) > 0 || table.HasMixedVersions("x") {
		t.Errorf("got usable %v, canaries %v; want usable [new], no canaries, no mixed versions", usable, canaries)
	}
	table = newTwoVersionTable()
	table.SetStages(map[string]Stage{"x": {Order: 5, Version: "v2"}})
	table.Remove(0, "old")
	if usable, canaries := usableAndCanaries(table); len(usable) > 0 || !slices.Equal(canaries, []string{"new"}) || !table.HasMixedVersions("x") {
		t.Errorf("after the old leaf was removed: got usable %v, canaries %v; want none usable, canaries [new], mixed versions", usable, canaries)
	}
}

// TestControlServesWhileTargetIsUnusable checks that the other versions stay usable while the zone
// of the new version's leaves is cordoned.
func TestControlServesWhileTargetIsUnusable(t *testing.T) {
	table := newTwoVersionTable()
	table.SetStages(map[string]Stage{"x": {Order: 5, Version: "v2", Phase: rollout.PhaseShift}})
	table.SetCordon(0, "zone-v2", true)
	if usable, _ := usableAndCanaries(table); !slices.Equal(usable, []string{"old"}) {
		t.Errorf("got usable %v, want [old]", usable)
	}
	supply := table.Supply("x")
	if supply.Target != 0 || supply.Control != 2 || !supply.Others["old"] || supply.Others["new"] {
		t.Errorf("got supply %+v, want 2 slots of the old leaf and none of the new one", supply)
	}
}
