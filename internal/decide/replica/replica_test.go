package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newChooser() Chooser {
	return NewChooser(DefaultScoreConfig(), rand.New(rand.NewPCG(1, 2)))
}

func TestChooseReturnsValidIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidate := rapid.Custom(func(t *rapid.T) Candidate {
			return Candidate{
				InFlight: rapid.IntRange(0, 9).Draw(t, "in flight"), OthersInFlight: rapid.Float64Range(0, 20).Draw(t, "others"),
				Slots: rapid.IntRange(1, 5).Draw(t, "slots"), Limit: rapid.IntRange(-3, 6).Draw(t, "limit"),
				Slowness: rapid.Float64Range(0.1, 50).Draw(t, "slowness"), SameZone: rapid.Bool().Draw(t, "near"),
			}
		})
		candidates := rapid.SliceOfN(candidate, 1, 5).Draw(t, "candidates")
		work := Work{Base: 0.01, Mean: 0.02, Queued: rapid.IntRange(0, 9).Draw(t, "ahead")}
		chooser := newChooser()
		if index := chooser.Choose(candidates, work); index < 0 || index >= len(candidates) {
			t.Fatalf("got index %d for %d candidates", index, len(candidates))
		}
	})
}

func TestChooseByExpectedCompletion(t *testing.T) {
	ordinary := Candidate{Slots: 2, Limit: 3, Slowness: 1}
	slow, near, busy, full := ordinary, ordinary, ordinary, ordinary
	slow.Slowness = 8
	near.SameZone = true
	busy.InFlight = 2
	full.InFlight = 3
	for _, test := range []struct {
		name       string
		candidates []Candidate
		ahead      int
		want       int
	}{
		{"avoids a straggler", []Candidate{slow, ordinary}, 0, 1},
		{"waits rather than take a straggler", []Candidate{slow, full}, 2, 1},
		{"takes a straggler when the wait is longer", []Candidate{slow, full}, 60, 0},
		{"avoids a queue", []Candidate{busy, ordinary}, 0, 1},
		{"a queue counts more than the zone", []Candidate{busy, ordinary, near}, 0, 2},
		{"the zone breaks a tie", []Candidate{ordinary, near}, 0, 1},
	} {
		chooser := newChooser()
		if got := chooser.Choose(test.candidates, Work{Base: 1, Mean: 1, Queued: test.ahead}); got != test.want {
			t.Errorf("%s: got candidate %d, want %d", test.name, got, test.want)
		}
	}
}

func TestSlownessEstimate(t *testing.T) {
	config := DefaultSlownessConfig()
	speed := NewSlownessEstimator(&config)
	if got := speed.Slowness(0); got != 1 {
		t.Errorf("no attempts: got slowness %.2f, want 1", got)
	}
	if got := speed.Slowness(Overdue(4) + Overdue(4)); got < 3 {
		t.Errorf("two pending attempts at four times the expected time: got slowness %.2f, want at least 3", got)
	}
	for range 20 {
		speed.RecordCompleted(0, 8)
	}
	if got := speed.Slowness(0); got < 5 || got > 8 {
		t.Errorf("attempts at 8 times the expected time: got slowness %.2f, want 5 to 8", got)
	}
	for range 14 {
		speed.RecordCompleted(0, 1)
	}
	if got := speed.Slowness(0); got > 1.4 {
		t.Errorf("recovered leaf: got slowness %.2f, want at most 1.4", got)
	}
	for range 20 {
		speed.RecordCompleted(0, 8)
	}
	for seconds := range 4 {
		speed.RecordCompleted(time.Duration(seconds+1)*time.Second, 1)
	}
	if got := speed.Slowness(0); got > 1.4 {
		t.Errorf("recovered leaf after four attempts, one per second: got slowness %.2f, want at most 1.4", got)
	}
	before := speed.Slowness(0)
	if speed.RecordAbandoned(0.5); speed.Slowness(0) != before {
		t.Errorf("an attempt abandoned early changed the slowness from %.2f to %.2f", before, speed.Slowness(0))
	}
	if speed.RecordAbandoned(9); speed.Slowness(0) <= before {
		t.Errorf("an attempt abandoned late left the slowness at %.2f, want above %.2f", speed.Slowness(0), before)
	}
}
