package dissemination

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// TestHeldAt checks that MajorityHeldAt counts each voter once and ignores responses that prove
// nothing: those with an older revision, of a predecessor, or of a voter that has not registered
// this process.
func TestHeldAt(t *testing.T) {
	const now, early, late = 10 * time.Second, time.Second, 9 * time.Second
	responseSentAt := func(at Time) voterResponse {
		return voterResponse{valid: true, voter: true, registered: true, incarnation: 1, revision: 3, sentAt: at}
	}
	unregistered := responseSentAt(late)
	unregistered.registered = false
	older := responseSentAt(late)
	older.revision = 2
	predecessor := responseSentAt(late)
	predecessor.incarnation = 0
	cases := []struct {
		name      string
		self      string
		responses map[string]voterResponse
		at        Time
		held      bool
	}{
		{"one other voter", "a", map[string]voterResponse{"b": responseSentAt(late)}, late, true},
		{"no voter", "a", nil, 0, false},
		{"old requests", "a", map[string]voterResponse{"b": responseSentAt(early), "c": responseSentAt(early)}, early, true},
		{"latest majority counts", "a", map[string]voterResponse{"b": responseSentAt(early), "c": responseSentAt(late)}, late, true},
		{"own response is not counted twice", "a", map[string]voterResponse{"a": responseSentAt(late)}, 0, false},
		{"response with an older revision", "a", map[string]voterResponse{"b": older}, 0, false},
		{"response of a voter's predecessor", "a", map[string]voterResponse{"b": predecessor}, 0, false},
		{"response without registration of this process", "a", map[string]voterResponse{"b": unregistered}, 0, false},
		{"not a voter, one voter responds", "d", map[string]voterResponse{"b": responseSentAt(late)}, 0, false},
		{"not a voter, two voters respond", "d", map[string]voterResponse{"b": responseSentAt(late), "c": responseSentAt(early)}, early, true},
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
		core.resetVoterStates()
		for _, name := range []string{"a", "b", "c"} {
			core.claims[name] = 1
		}
		for name, got := range test.responses {
			if state := core.voterStates[name]; state != nil {
				state.latest = got
			}
		}
		at, held := core.MajorityHeldAt(now, 3)
		if at != test.at || held != test.held {
			t.Errorf("%s: got held %v at %v, want held %v at %v", test.name, held, at, test.held, test.at)
		}
	}
}
