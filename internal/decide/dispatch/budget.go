// Rule: budget of extra load. Each needed attempt earns a fraction of a token, time earns tokens
// where a refill rate is set, and each extra attempt costs one token. Either one budget serves all
// shards, or each shard has its own budget (Config.BudgetByShard).
//
// Inputs: the share of extra load of the class (0 to 1), the bounds of each shard's budget (tokens,
// tokens per second; see ResizeBudgets).
//
// Reason: extra attempts add load when the leaves are already slow, so extra load is bounded by a
// share of the needed load. Back ends with separate quotas get separate budgets, so that a slow
// shard does not spend what other shards have earned.

package dispatch

import "github.com/micaplank/micaplank/internal/decide/hedge"

// budgets pay for extra attempts, with one budget for all shards or one for each shard.
type budgets struct {
	config  hedge.BudgetConfig
	byShard bool
	shared  hedge.Budget
	shards  map[int]*hedge.Budget
	// bounds returns the bounds of a shard's budget; nil means that the bounds of config apply.
	bounds func(shard int) hedge.Bounds
}

func newBudgets(config hedge.BudgetConfig, byShard bool) budgets {
	return budgets{
		config:  config,
		byShard: byShard,
		shared:  hedge.NewBudget(config),
		shards:  make(map[int]*hedge.Budget),
	}
}

// get returns the budget that pays for extra attempts of a shard, refilled up to now.
func (b *budgets) get(shard int, now Time) *hedge.Budget {
	budget := &b.shared
	if b.byShard {
		budget = b.getShard(shard)
	}
	budget.Refill(now)
	return budget
}

// getShard returns the budget of a shard and creates it on first use.
func (b *budgets) getShard(shard int) *hedge.Budget {
	if budget, ok := b.shards[shard]; ok {
		return budget
	}
	config := b.config
	if b.bounds != nil {
		config.Resize(b.bounds(shard))
	}
	created := hedge.NewBudget(config)
	b.shards[shard] = &created
	return &created
}

// tokens returns the sum of the tokens in all budgets.
func (b *budgets) tokens() float64 {
	if !b.byShard {
		return b.shared.Tokens()
	}
	sum := 0.0
	for _, budget := range b.shards {
		sum += budget.Tokens()
	}
	return sum
}

// budgetFor returns the budget that pays for extra attempts of a shard of the query.
func (d *Dispatcher) budgetFor(q *query, position int32) *hedge.Budget {
	return d.budgets.get(q.shardAt(int(position)), d.now)
}

// ResizeBudgets changes the bounds of the budget of each shard if Config.BudgetByShard is set. The
// Dispatcher keeps the function, which must be pure.
func (d *Dispatcher) ResizeBudgets(bounds func(shard int) hedge.Bounds) {
	d.budgets.bounds = bounds
	for shard, budget := range d.budgets.shards {
		budget.Resize(bounds(shard))
	}
}
