package dissemination

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// TestHeldAt checks that HeldAt counts each voter once and ignores responses that prove nothing:
// those with an older revision, of a predecessor, or of a voter that has not registered this
// process.
func TestHeldAt(t *testing.T) {
	const now, early, late = 10 * time.Second, time.Second, 9 * time.Second
	answerSentAt := func(at Time) voterAnswer {
		return voterAnswer{valid: true, voter: true, registered: true, incarnation: 1, revision: 3, sentAt: at}
	}
	unregistered := answerSentAt(late)
	unregistered.registered = false
	older := answerSentAt(late)
	older.revision = 2
	predecessor := answerSentAt(late)
	predecessor.incarnation = 0
	cases := []struct {
		name    string
		self    string
		answers map[string]voterAnswer
		at      Time
		held    bool
	}{
		{"one other voter", "a", map[string]voterAnswer{"b": answerSentAt(late)}, late, true},
		{"no voter", "a", nil, 0, false},
		{"old requests", "a", map[string]voterAnswer{"b": answerSentAt(early), "c": answerSentAt(early)}, early, true},
		{"latest majority counts", "a", map[string]voterAnswer{"b": answerSentAt(early), "c": answerSentAt(late)}, late, true},
		{"own response is not counted twice", "a", map[string]voterAnswer{"a": answerSentAt(late)}, 0, false},
		{"response with an older revision", "a", map[string]voterAnswer{"b": older}, 0, false},
		{"response of a voter's predecessor", "a", map[string]voterAnswer{"b": predecessor}, 0, false},
		{"response without registration of this process", "a", map[string]voterAnswer{"b": unregistered}, 0, false},
		{"not a voter, one voter responds", "d", map[string]voterAnswer{"b": answerSentAt(late)}, 0, false},
		{"not a voter, two voters respond", "d", map[string]voterAnswer{"b": answerSentAt(late), "c": answerSentAt(early)}, early, true},
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
		for name, got := range test.answers {
			if state := core.voterStates[name]; state != nil {
				state.latest = got
			}
		}
		at, held := core.HeldAt(now, 3)
		if at != test.at || held != test.held {
			t.Errorf("%s: got held %v at %v, want held %v at %v", test.name, held, at, test.held, test.at)
		}
	}
}
