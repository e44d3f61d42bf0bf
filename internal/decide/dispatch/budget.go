// Rule: the budget of extra load. Each needed attempt earns a share of a token, time earns
// some where a refill is set, and each extra attempt costs one; one budget serves all
// shards, or each shard has its own (Config.BudgetByShard).
//
// Inputs: the share of extra load of the class (0 to 1), the bounds of each shard's budget
// (tokens, tokens a second; ResizeBudgets).
//
// Reason: extra attempts load the leaves most when they are slow already, so what may be
// added is bounded by what was needed. Back ends that are metered one by one have budgets
// of their own, so that one slow shard does not spend what the others earned.
//
// Measured: the figures of hedge.BudgetConfig are with its defaults.

package dispatch

import "github.com/micaplank/micaplank/internal/decide/hedge"

// budgets pay for extra attempts: one budget for all shards, or one for each.
type budgets struct {
	config  hedge.BudgetConfig
	byShard bool
	shared  hedge.Budget
	shards  map[int]*hedge.Budget
	// bounds returns those of the budget of a shard; nil for those of the config.
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

// of returns the budget that pays for extra attempts of a shard, as of now.
func (b *budgets) get(shard int, now Time) *hedge.Budget {
	budget := &b.shared
	if b.byShard {
		budget = b.getShard(shard)
	}
	budget.Pass(now)
	return budget
}

// ofShard returns the budget of a shard, and makes it if it is not known yet.
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

// tokens returns the extra attempts that all budgets hold together.
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

// budgetOf returns the budget that pays for extra attempts of a shard of the query.
func (d *Dispatcher) budgetFor(q *query, position int32) *hedge.Budget {
	return d.budgets.get(q.shardAt(int(position)), d.now)
}

// ResizeBudgets changes the bounds of the budget of each shard, if
// Config.BudgetByShard. It keeps the function, which must be pure.
func (d *Dispatcher) ResizeBudgets(bounds func(shard int) hedge.Bounds) {
	d.budgets.bounds = bounds
	for shard, budget := range d.budgets.shards {
		budget.Resize(bounds(shard))
	}
}
