package registry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/position"
)

var config = Config{GracePeriod: 2 * time.Second, SettlingTime: 3 * time.Second}

// newTestIndex returns an Index with the services that the configuration names in these tests.
func newTestIndex() *Index {
	index := NewIndex()
	for _, service := range []string{"x", "y"} {
		index.Assign(service)
	}
	return index
}

func leafAt(id, service string, port int, created uint64) Leaf {
	return Leaf{ID: id, Service: service, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(port)), Slots: 2, Created: position.Position{Revision: created}}
}

// usableLeaves returns the usable leaves with the number of their service.
func usableLeaves(topology dispatch.Topology) map[string]int {
	shards := make(map[string]int)
	for _, leaf := range topology.Leaves {
		if leaf.Usable {
			shards[leaf.BootID] = leaf.Holdings[0].Shards[0]
		}
	}
	return shards
}

func TestTopologyNumbersServices(t *testing.T) {
	table := NewTable(config, newTestIndex())
	table.Replace(0, []Leaf{leafAt("a", "x", 1, 1), leafAt("b", "y", 2, 2), leafAt("c", "x", 3, 3)})
	topology := table.Topology()
	usable := usableLeaves(topology)
	if len(usable) != 3 || usable["a"] != usable["c"] || usable["a"] == usable["b"] || topology.Partitions[0].Shards != 2 {
		t.Errorf("got shards %v in %+v, want one for a and c and another one for b", usable, topology.Partitions)
	}
}

func TestDrainingPersistsForIncarnation(t *testing.T) {
	table := NewTable(config, newTestIndex())
	leaf := leafAt("a", "x", 1, 1)
	leaf.Draining = true
	table.Set(0, leaf)
	leaf.Draining = false
	table.Set(0, leaf)
	if usable := usableLeaves(table.Topology()); len(usable) != 0 {
		t.Errorf("usable leaves: got %v, want none", usable)
	}
	table.Set(0, leafAt("b", "x", 1, 9))
	if _, ok := usableLeaves(table.Topology())["b"]; !ok {
		t.Error("leaf with another ID at the same address is not usable, want it usable")
	}
}

func TestNewerLeafOwnsItsAddress(t *testing.T) {
	table := NewTable(config, newTestIndex())
	table.Replace(0, []Leaf{leafAt("new", "y", 1, 7), leafAt("old", "x", 1, 3)})
	usable := usableLeaves(table.Topology())
	if _, ok := usable["new"]; !ok || len(usable) != 1 {
		t.Errorf("usable leaves: got %v, want only the new one", usable)
	}
}

// TestRemovalsAroundOutageAreDelayed checks until when a leaf stays usable after its announcement
// has vanished: around an outage of the store, a lease may have expired although its leaf is alive.
func TestRemovalsAroundOutageAreDelayed(t *testing.T) {
	const outageEnd = 100 * time.Second
	for _, test := range []struct {
		name           string
		at             time.Duration // when the announcement is removed
		draining       bool
		announcedAgain bool // announced again before the removal takes effect
		usedUntil      time.Duration
	}{
		{"long after an outage", outageEnd + config.SettlingTime, false, false, 0},
		{"just after an outage", outageEnd + time.Second, false, false, outageEnd + time.Second + config.GracePeriod},
		{"announced again", outageEnd + time.Second, false, true, time.Hour},
		{"draining before", outageEnd + time.Second, true, false, 0},
	} {
		table := NewTable(config, newTestIndex())
		leaf := leafAt("a", "x", 1, 1)
		table.Set(0, leaf)
		if leaf.Draining = test.draining; leaf.Draining {
			table.Set(0, leaf)
		}
		table.RecordOutage(outageEnd)
		table.Remove(test.at, "a")
		table.Remove(test.at+time.Second, "a")
		if test.announcedAgain {
			table.Set(0, leaf)
		}
		for _, now := range []time.Duration{test.at, test.usedUntil - 1, test.usedUntil, 2 * time.Hour} {
			if now < test.at {
				continue
			}
			changed, next := table.Expire(now)
			if got, want := table.Len() == 1, now < test.usedUntil || test.announcedAgain; got != want {
				t.Errorf("%s: leaf kept at %v: got %v, want %v", test.name, now, got, want)
			}
			if table.Len() == 1 && !test.announcedAgain && next != test.usedUntil {
				t.Errorf("%s: next expiry: got %v, want %v", test.name, next, test.usedUntil)
			}
			if changed && now < test.usedUntil {
				t.Errorf("%s: leaf dropped at %v, want it kept until %v", test.name, now, test.usedUntil)
			}
		}
	}
}

func TestReplaceRemovesMissingLeaves(t *testing.T) {
	table := NewTable(config, newTestIndex())
	table.Replace(0, []Leaf{leafAt("a", "x", 1, 1), leafAt("b", "x", 2, 1)})
	table.Replace(10*time.Second, []Leaf{leafAt("b", "x", 2, 1)})
	usable := usableLeaves(table.Topology())
	if _, ok := usable["b"]; !ok || len(usable) != 1 {
		t.Errorf("usable leaves: got %v, want only b", usable)
	}
}

// TestReplaceIgnoresAnnouncedCold guards against a slow start for a leaf whose announcement may be
// old: the time for which it was cold may be over.
func TestReplaceIgnoresAnnouncedCold(t *testing.T) {
	table := NewTable(config, newTestIndex())
	stale, fresh := leafAt("a", "x", 1, 1), leafAt("b", "x", 2, 2)
	stale.Cold, fresh.Cold = time.Second, time.Second
	table.Replace(0, []Leaf{stale})
	table.Set(0, fresh)
	for _, leaf := range table.Topology().Leaves {
		if want := leaf.BootID == "b"; leaf.Cold != want {
			t.Errorf("leaf %s: got cold %v, want %v", leaf.BootID, leaf.Cold, want)
		}
	}
}

// TestColdUntil checks until when a leaf is assumed to be cold.
func TestColdUntil(t *testing.T) {
	table := NewTable(config, newTestIndex())
	table.SetColdTimes(map[string]time.Duration{"x": 3 * time.Second})
	check := func(description string, want time.Duration) {
		t.Helper()
		if got := table.Topology().Leaves[0].ColdUntil; got != want {
			t.Errorf("%s: cold until: got %v, want %v", description, got, want)
		}
	}
	announced := leafAt("a", "x", 1, 1)
	announced.Zone, announced.Written.Revision, announced.Cold = "north", 1, 2*time.Second
	table.Set(10*time.Second, announced)
	check("announced as cold", 12*time.Second)
	table.Replace(11*time.Second, []Leaf{announced})
	check("same announcement again", 12*time.Second)
	announced.Written.Revision, announced.Cold = 2, 0
	table.Set(11*time.Second, announced)
	check("announced as warm, which may be older", 12*time.Second)
	table.SetCordon(20*time.Second, "north", true)
	table.SetCordon(30*time.Second, "north", false)
	check("zone uncordoned", 33*time.Second)
	announced.Written.Revision, announced.Cold = 3, time.Second
	table.Set(31*time.Second, announced)
	check("announced as cold for less time than after the cordon", 33*time.Second)
	announced.Written.Revision, announced.Cold = 4, 5*time.Second
	table.Set(31*time.Second, announced)
	check("announced as cold for longer", 36*time.Second)
}
