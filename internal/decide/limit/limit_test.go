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
				limiter.Refused(now)
				if limiter.Current() > before {
					t.Fatal("a refusal raised the limit")
				}
			case 1:
				limiter.Restart(rapid.Bool().Draw(t, "cold"))
			default:
				limiter.Succeeded(now, before, rapid.IntRange(0, 10).Draw(t, "queue"))
			}
			if current := limiter.Current(); current < 1 || current > max(slots, 1)+config.Headroom {
				t.Fatalf("limit %d with %d slots", current, slots)
			}
		}
	})
}

// Four nodes that always want more than their limit share a leaf.
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
		limiter.Succeeded(time.Duration(step)*time.Millisecond, limiter.Current(), max(total()-slots, 0))
	}
	if sum := total(); sum < slots || sum > 2*slots {
		t.Errorf("%d attempts in flight on %d slots", sum, slots)
	}
}

func TestColdLeafLimitStartsAtOne(t *testing.T) {
	config := DefaultConfig()
	limiter := New(&config, 4, true)
	for want := 1; want <= 4; want++ {
		if limiter.Current() != want {
			t.Fatalf("limit %d after %d successes", limiter.Current(), want-1)
		}
		limiter.Succeeded(0, 1, 0)
	}
}
