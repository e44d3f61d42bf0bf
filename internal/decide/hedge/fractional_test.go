package hedge

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestFractionalBudgetsSpendTheirSum gives many nodes less than a token each and has each of
// them request several attempts at once. Together they must not spend much more than the sum
// of their budgets.
func TestFractionalBudgetsSpendTheirSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		nodes := rapid.IntRange(60, 1000).Draw(t, "nodes")
		const slack = 42.0
		config := BudgetConfig{EarnedShare: 0.9, Capacity: slack / float64(nodes), Initial: slack / float64(nodes), Random: random.Float64}
		spent := 0
		for range nodes {
			budget := NewBudget(config)
			for range 5 {
				if budget.CanRetry() && budget.SpendRetry(1) {
					spent++
				}
				if budget.SpendHedge() {
					spent++
				}
			}
			if budget.Tokens() < 0 || budget.Tokens() > 1 {
				t.Fatalf("%v tokens left, want 0 to 1", budget.Tokens())
			}
		}
		// Six standard deviations of the sum of independent draws.
		if limit := slack + 6*6.5; float64(spent) > limit {
			t.Fatalf("%d nodes spent %d tokens, want at most %.0f for budgets of %.0f", nodes, spent, limit, slack)
		}
	})
}

func TestBudgetOfOneTokenOrMoreIsNotRandomised(t *testing.T) {
	config := DefaultBudgetConfig()
	config.Initial, config.MaxDebt = 0.9, 0
	config.Random = func() float64 { return 0 }
	budget := NewBudget(config)
	if budget.CanRetry() || budget.Tokens() != 0.9 {
		t.Errorf("can retry = %v with %v tokens, want false with 0.9", budget.CanRetry(), budget.Tokens())
	}
}
