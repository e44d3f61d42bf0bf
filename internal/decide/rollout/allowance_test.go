package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAllowanceStaysWithinBounds spends as much as one node may, under random sequences of
// requests, grants, bursts and restarts.
func TestAllowanceStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Slack: rapid.Float64Range(0, 60).Draw(t, "slack")}
		chance := func() float64 { return rapid.Float64Range(0, 0.99).Draw(t, "chance") }
		deadline := 10 * time.Second
		allowance := NewAllowance(bounds, 1, deadline, chance)
		now, granted := time.Duration(0), time.Duration(0)
		earned, spent := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				granted = now + GrantTTL
				allowance.Grant(granted)
			case 1:
				allowance.Burst()
			case 2: // the process restarts
				allowance = NewAllowance(bounds, 0, deadline, chance)
				granted = 0
			case 3, 4, 5:
				allowance.Earn(now)
				earned++
			default:
				if !allowance.Allows(now) {
					continue
				}
				if now >= granted || now >= deadline {
					t.Fatalf("spent at %s, want no spending after the grant ended at %s or the deadline at %s", now, granted, deadline)
				}
				allowance.Spend()
				spent++
			}
		}
		if allowed := bounds.Ratio*float64(earned) + bounds.Slack; float64(spent) > allowed+2 {
			t.Fatalf("%d attempts spent, want at most %.1f + 2", spent, allowed)
		}
	})
}

// TestSlackSharesAddUp checks the total that many nodes spend of the slack they share.
func TestSlackSharesAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	bounds := Bounds{Slack: 50}
	for _, nodes := range []int{1, 3, 66, maxParticipants} {
		sum, most := 0, 0
		for range 200 {
			spent := 0
			for range nodes {
				allowance := NewAllowance(bounds, 1/float64(nodes), time.Second, random.Float64)
				allowance.Grant(time.Second)
				allowance.Burst()
				for allowance.Allows(0) {
					allowance.Spend()
					spent++
				}
			}
			sum += spent
			most = max(most, spent)
		}
		if mean := float64(sum) / 200; mean < 26 || mean > 29 || most > 50 {
			t.Errorf("%d nodes: %.1f attempts spent on average and %d at most, want 26 to 29 and at most 50", nodes, mean, most)
		}
	}
}
