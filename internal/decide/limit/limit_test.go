package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		slots := rapid.IntRange(0, 8).Draw(t, "slots")
		limiter := New(&config, slots, rapid.Bool().Draw(t, "cold"))
		now := time.Duration(0)
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond
			before := limiter.Current()
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				limiter.RecordRefusal(now)
				if limiter.Current() > before {
					t.Fatalf("a refusal raised the limit from %d to %d", before, limiter.Current())
				}
			case 1:
				limiter.Reset(rapid.Bool().Draw(t, "cold"))
			default:
				limiter.RecordSuccess(now, before, rapid.IntRange(0, 10).Draw(t, "queue"))
			}
			if current := limiter.Current(); current < 1 || current > max(slots, 1)+config.Headroom {
				t.Fatalf("got limit %d, want 1 to %d with %d slots", current, max(slots, 1)+config.Headroom, slots)
			}
		}
	})
}

// TestLimitsConvergeToSharesOfSlots lets four nodes that always want more than their limit share
// one leaf.
func TestLimitsConvergeToSharesOfSlots(t *testing.T) {
	const nodes, slots = 4, 5
	config := DefaultConfig()
	limiters := make([]Limiter, nodes)
	for index := range limiters {
		limiters[index] = New(&config, slots, false)
	}
	total := func() int {
		sum := 0
		for index := range limiters {
			sum += limiters[index].Current()
		}
		return sum
	}
	for step := range 2000 {
		limiter := &limiters[step%nodes]
		limiter.RecordSuccess(time.Duration(step)*time.Millisecond, limiter.Current(), max(total()-slots, 0))
	}
	if sum := total(); sum < slots || sum > 2*slots {
		t.Errorf("%d attempts in flight on %d slots, want %d to %d", sum, slots, slots, 2*slots)
	}
}

func TestColdLeafLimitStartsAtOne(t *testing.T) {
	config := DefaultConfig()
	limiter := New(&config, 4, true)
	for want := 1; want <= 4; want++ {
		if limiter.Current() != want {
			t.Fatalf("got limit %d after %d successes, want %d", limiter.Current(), want-1, want)
		}
		limiter.RecordSuccess(0, 1, 0)
	}
}
