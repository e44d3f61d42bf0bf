// Package hedge provides the budget that pays for extra attempts and the latency quantiles
// after which a hedge is sent. It is pure: time is passed in as an argument.
//
// Rule: each required attempt earns a fraction of a token, each extra attempt costs one token.
// Hedges and probes leave a reserve for retries, and retries may overdraw the budget.
//
// Inputs: the share of extra load of a class from 0 to 1, tokens, tokens per second.
//
// Reason: extra attempts load the leaves most when the leaves are already slow. A lost shard
// costs coverage, while a late shard only costs time, so retries take precedence over hedges.
package hedge

import "time"

// BudgetConfig holds the policy of a Budget.
type BudgetConfig struct {
	// EarnedShare is the fraction of the class's extra load that required attempts earn. It is
	// below 1 so that saved tokens and attempts repeated after refusals stay within the extra load
	// too.
	EarnedShare float64
	// Capacity is the largest number of tokens that can be saved. It keeps a long idle period
	// from paying for a burst.
	Capacity float64
	// Initial is the number of tokens at the start, which lets a node hedge right after startup.
	Initial float64
	// Reserve is the number of tokens that hedges and probes leave for retries.
	Reserve float64
	// MaxDebt is how far retries may overdraw the budget, because a lost shard costs coverage.
	// Hedges wait until the debt is repaid. The default covers the shards that are lost together
	// with one leaf.
	MaxDebt float64
	// RefillRate is the number of tokens added per second. By default only attempts earn tokens.
	RefillRate float64
	// Random returns random numbers from 0 to 1. If it is set, a budget that cannot hold a whole
	// token buys an attempt with the probability of its fraction, so that many such budgets
	// together spend their sum. If it is nil, such a budget never buys an attempt.
	Random func() float64
}

// DefaultBudgetConfig returns the default policy.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{
		// With one slow leaf, 1 brings the extra load to 0.0299 where 0.03 is allowed; 0.95 keeps
		// it at 0.0285 or less.
		EarnedShare: 0.95,
		Capacity:    20,
		Initial:     5,
		Reserve:     2,
		MaxDebt:     50,
		RefillRate:  0,
	}
}

// Budget is a token bucket that is filled by required attempts and over time, and drained by
// extra attempts: hedges, probes and retries.
type Budget struct {
	config     BudgetConfig
	tokens     float64
	refilledAt time.Duration // time of the last Refill
}

// NewBudget returns a Budget with its initial tokens.
func NewBudget(config BudgetConfig) Budget {
	return Budget{config: config, tokens: min(config.Initial, config.Capacity), refilledAt: neverRefilled}
}

// neverRefilled is the value of refilledAt before the first Refill.
const neverRefilled time.Duration = -1

// Bounds are the parts of a BudgetConfig that change while a Budget is in use.
type Bounds struct{ Initial, Capacity, Reserve, RefillRate float64 }

// Resize changes the bounds. The initial tokens apply to budgets that are created later.
func (c *BudgetConfig) Resize(bounds Bounds) {
	c.Initial, c.Capacity, c.Reserve, c.RefillRate = bounds.Initial, bounds.Capacity, bounds.Reserve, bounds.RefillRate
}

// Resize changes the bounds. Tokens beyond the new capacity are lost.
func (b *Budget) Resize(bounds Bounds) {
	b.config.Resize(bounds)
	b.tokens = min(b.tokens, bounds.Capacity)
}

// Earn adds the tokens of one required attempt of a class with the given share of extra load,
// from 0 to 1. A class without extra load earns nothing.
func (b *Budget) Earn(share float64) {
	b.tokens = min(b.tokens+share*b.config.EarnedShare, b.config.Capacity)
}

// Refill adds the tokens that are due since the last call, up to now.
func (b *Budget) Refill(now time.Duration) {
	if b.refilledAt == neverRefilled {
		b.refilledAt = now
	}
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.tokens+b.config.RefillRate*(now-b.refilledAt).Seconds(), max(b.config.Capacity, b.tokens))
	b.refilledAt = now
}

// SpendHedge takes one token for a hedge or a probe. It fails if that would use the reserve.
func (b *Budget) SpendHedge() bool {
	b.settleFraction()
	if b.config.Capacity < 1 {
		return b.SpendRetry(1)
	}
	if b.tokens < 1+b.config.Reserve {
		return false
	}
	b.tokens--
	return true
}

// settleFraction turns a fraction of a token at random into a whole token or none, if the
// budget cannot hold a whole token.
func (b *Budget) settleFraction() {
	if b.config.Capacity >= 1 || b.config.Random == nil || b.tokens <= 0 || b.tokens >= 1 {
		return
	}
	if b.config.Random() < b.tokens {
		b.tokens = 1
		return
	}
	b.tokens = 0
}

// CanRetry reports whether SpendRetry would succeed. A budget that cannot hold a whole token
// may lose its fraction by this call; see BudgetConfig.Random.
func (b *Budget) CanRetry() bool {
	b.settleFraction()
	return b.tokens-1 >= -b.config.MaxDebt
}

// SpendRetry takes tokens for retries, if the debt limit allows at least one.
func (b *Budget) SpendRetry(attempts int) bool {
	if !b.CanRetry() {
		return false
	}
	b.tokens -= float64(attempts)
	return true
}

// Tokens returns the remaining tokens, which are negative while the budget is in debt.
func (b *Budget) Tokens() float64 {
	return b.tokens
}
