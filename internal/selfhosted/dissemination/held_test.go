package dissemination

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// TestHeldAtCountsVotersOnce has a core with answers of other voters, and asks
// since when a majority is known to hold a revision.
func TestHeldAtCountsVotersOnce(t *testing.T) {
	const now, early, late = 10 * time.Second, time.Second, 9 * time.Second
	answered := func(at Time) answer {
		return answer{valid: true, voter: true, registered: true, incarnation: 1, revision: 3, sentAt: at}
	}
	unregistered := answered(late)
	unregistered.registered = false
	older := answered(late)
	older.revision = 2
	predecessor := answered(late)
	predecessor.incarnation = 0
	cases := []struct {
		name    string
		self    string
		answers map[string]answer
		at      Time
		held    bool
	}{
		{"one other voter", "a", map[string]answer{"b": answered(late)}, late, true},
		{"nobody", "a", nil, 0, false},
		{"asked long ago", "a", map[string]answer{"b": answered(early), "c": answered(early)}, early, true},
		{"the latest majority counts", "a", map[string]answer{"b": answered(early), "c": answered(late)}, late, true},
		{"itself does not count twice", "a", map[string]answer{"a": answered(late)}, 0, false},
		{"an older revision", "a", map[string]answer{"b": older}, 0, false},
		{"a predecessor of the voter", "a", map[string]answer{"b": predecessor}, 0, false},
		{"a voter that does not register this process", "a", map[string]answer{"b": unregistered}, 0, false},
		{"no voter itself, one voter", "d", map[string]answer{"b": answered(late)}, 0, false},
		{"no voter itself, two voters", "d", map[string]answer{"b": answered(late), "c": answered(early)}, early, true},
	}
	for _, test := range cases {
		core := New(Options{
			Config: DefaultConfig(),
			Self:   Member{Name: test.self, Incarnation: 1, Alive: true},
			Random: rand.New(rand.NewPCG(1, 2)),
		})
		core.log.catalog = &catalog.Catalog{Revision: 3, Voters: map[string]catalog.Voter{"a": {}, "b": {}, "c": {}}}
		core.takeover.recovered = true
		core.voters = core.log.catalog.VoterNames()
		core.resetSlots()
		for _, name := range []string{"a", "b", "c"} {
			core.claims[name] = 1
		}
		for name, got := range test.answers {
			if s := core.slots[name]; s != nil {
				s.latest = got
			}
		}
		at, held := core.HeldAt(now, 3)
		if at != test.at || held != test.held {
			t.Errorf("%s: held %v since %v, want %v since %v", test.name, held, at, test.held, test.at)
		}
	}
}
