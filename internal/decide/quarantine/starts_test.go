package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const (
	// beat is the heartbeat of these tests.
	beat = 1200 * time.Millisecond
	// lapse is after what time an announcement that is still there shows that its leaf
	// lives.
	lapse = lapseHeartbeats*beat + announceTime
)

// TestStartCrashesOnce: what is sent to a start after it was lost, and before it answers
// again, says nothing of its request, whoever lost it.
func TestStartCrashesOnce(t *testing.T) {
	starts := NewStarts()
	for _, step := range []struct {
		name       string
		sent, lost time.Duration
		want       string
	}{
		{"the first loss", 10, 20, "a"},
		{"in flight beside it", 15, 21, "a"},
		{"sent later", 25, 30, ""},
		{"and again", 1000, 1010, ""},
	} {
		got, crashed := starts.Lost("a", step.sent, step.lost)
		if got != step.want || crashed != (step.want != "") {
			t.Errorf("%s: %q, %v", step.name, got, crashed)
		}
	}
	starts.Answered("a", 1005)
	if got, _ := starts.Lost("a", 1100, 1110); got != "a+1" {
		t.Errorf("lost after an answer: %q", got)
	}
	starts.Named(2000, "b")
	if got, crashed := starts.Lost("b", 2100, 2110); crashed {
		t.Errorf("lost after another node named it: %q", got)
	}
	starts.Named(3000, "c+4")
	starts.Answered("c", 3100)
	if got, _ := starts.Lost("c", 3200, 3210); got != "c+5" {
		t.Errorf("lost once more, after another node's count: %q", got)
	}
}

// TestEachLossCountsWithoutAStore, since no restart is heard of.
func TestEachLossCountsWithoutAStore(t *testing.T) {
	starts := NewStarts()
	starts.SetStoreAway(0, true)
	for life, want := range []string{"a", "a+1", "a+2"} {
		at := time.Duration(life+1) * time.Second
		if got, _ := starts.Lost("a", at, at+1); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// TestStartSurvives if it is still announced some time after it answered, or after its
// announcement would have lapsed; an outage of the store shows neither.
func TestStartSurvives(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		answered, away, back time.Duration
		survivedAt           time.Duration
	}{
		"answers":                        {answered: 12 * second, survivedAt: 15 * second},
		"answered what was sent before":  {answered: 9 * second, survivedAt: 10*second + lapse},
		"does not answer":                {survivedAt: 10*second + lapse},
		"answers in an outage":           {answered: 12 * second, away: 11 * second, back: 20 * second, survivedAt: 23 * second},
		"does not answer, and an outage": {away: 11 * second, back: 20 * second, survivedAt: 20*second + lapse},
	} {
		t.Run(name, func(t *testing.T) {
			starts := NewStarts()
			starts.Lost("a", 9*second, 10*second)
			if test.answered > 0 {
				starts.Answered("a", test.answered)
			}
			survivedAt := time.Duration(0)
			for at := 10 * second; at < time.Minute && survivedAt == 0; at += 100 * time.Millisecond {
				if test.back > 0 {
					starts.SetStoreAway(at, at >= test.away && at < test.back)
				}
				if starts.Survived(at, "a", 10*second, beat) {
					survivedAt = at
				}
			}
			if survivedAt != test.survivedAt {
				t.Errorf("survived at %v, want %v", survivedAt, test.survivedAt)
			}
		})
	}
}

// TestStartsAreBounded, and forgotten.
func TestStartsAreBounded(t *testing.T) {
	starts := NewStarts()
	for number := range maxStarts + 10 {
		starts.Lost(fmt.Sprint("leaf-", number), 0, time.Duration(number))
	}
	if len(starts.known) != maxStarts || starts.known["leaf-0"] != nil {
		t.Errorf("%d starts are known", len(starts.known))
	}
	starts.Expire(2 * RecordTTL)
	if len(starts.known) > 0 {
		t.Errorf("%d starts are known long after", len(starts.known))
	}
}
