package hedge

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestHedgesStayWithinEarnedTokens(t *testing.T) {
	const share = 0.03
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultBudgetConfig()
		config.Initial = float64(rapid.IntRange(0, 30).Draw(t, "initial"))
		budget := NewBudget(config)
		needed, hedges, retries := 0, 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				if budget.SpendRetry(1) {
					retries++
				}
			case 1, 2:
				if budget.SpendHedge() {
					hedges++
				}
				if hedges > 0 && float64(hedges+retries) > config.Initial+share*float64(needed)+config.MaxDebt+1 {
					t.Fatalf("%d hedges and %d retries for %d required attempts exceed earned, initial and debt tokens", hedges, retries, needed)
				}
			default:
				budget.Earn(share)
				needed++
			}
			if retries == 0 && float64(hedges) > config.Initial+share*float64(needed) {
				t.Fatalf("%d hedges for %d required attempts exceed earned and initial tokens", hedges, needed)
			}
			if budget.Tokens() > config.Capacity || budget.Tokens() < -config.MaxDebt-1 {
				t.Fatalf("got %f tokens, want %f to %f", budget.Tokens(), -config.MaxDebt-1, config.Capacity)
			}
		}
	})
}

func TestClassWithoutExtraLoadEarnsNothing(t *testing.T) {
	budget := NewBudget(DefaultBudgetConfig())
	before := budget.Tokens()
	for range 1000 {
		budget.Earn(0)
	}
	if budget.Tokens() != before {
		t.Errorf("got %f tokens, want %f as before", budget.Tokens(), before)
	}
}

func TestHedgesLeaveTheReserve(t *testing.T) {
	budget := NewBudget(BudgetConfig{Capacity: 10, Initial: 5, Reserve: 2, MaxDebt: 1})
	count := 0
	for budget.SpendHedge() {
		count++
	}
	if count != 3 || !budget.SpendRetry(1) {
		t.Errorf("got %d hedges, want 3 and a retry after them", count)
	}
}

func TestQuantileBoundsExactValueFromAbove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		latencies := rapid.SliceOfN(rapid.IntRange(0, 100_000_000), 1, 300).Draw(t, "latencies")
		quantile := rapid.Float64Range(0.01, 0.99).Draw(t, "quantile")
		var quantiles LatencyHistogram
		for _, value := range latencies {
			quantiles.Add(time.Duration(value) * time.Microsecond)
		}
		slices.Sort(latencies)
		exact := 0
		for rank, value := range latencies {
			if float64(rank+1) >= quantile*float64(len(latencies)) {
				exact = value
				break
			}
		}
		got := quantiles.compute(quantile).Microseconds()
		if got < int64(exact) || float64(got) > float64(exact)*(1+1.0/bucketsPerOctave)+1 {
			t.Fatalf("got %d µs for an exact quantile of %d µs", got, exact)
		}
	})
}

func TestOldLatenciesDecay(t *testing.T) {
	var quantiles LatencyHistogram
	for range 1000 {
		quantiles.Add(time.Second)
	}
	for range 10 * halvingInterval {
		quantiles.Add(time.Millisecond)
	}
	if got := quantiles.Quantile(0.99); got > 2*time.Millisecond {
		t.Errorf("got quantile %s after old latencies should have decayed, want at most 2ms", got)
	}
}

// TestTokensRefillOverTime checks that the tokens spent within any time window do not exceed
// the capacity and the refill of that window.
func TestTokensRefillOverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		config := BudgetConfig{Capacity: 5, Initial: 5, RefillRate: 0.4}
		budget := NewBudget(config)
		now := time.Duration(rapid.IntRange(0, 1000).Draw(t, "start")) * time.Second
		var spent []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
			budget.Refill(now)
			if budget.SpendHedge() {
				spent = append(spent, now)
			}
		}
		for last := range spent {
			first := last
			for first > 0 && spent[last]-spent[first-1] < window {
				first--
			}
			if count := last - first + 1; float64(count) > config.Capacity+config.RefillRate*window.Seconds()+0.001 {
				t.Fatalf("%d tokens spent between %v and %v, want at most capacity and refill", count, spent[first], spent[last])
			}
		}
	})
}
