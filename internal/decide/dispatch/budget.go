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

// budgetOf returns the budget that pays for extra attempts of a shard.
func (d *Dispatcher) budgetOf(q *query, position int32) *hedge.Budget {
	return d.budgetOfShard(q.shardAt(int(position)))
}

// budgetOfShard returns the same by the number of the shard.
func (d *Dispatcher) budgetOfShard(shard int) *hedge.Budget {
	if !d.config.BudgetByShard {
		d.budget.Pass(d.now)
		return &d.budget
	}
	budget, known := d.budgets[shard]
	if !known {
		config := d.config.Budget
		if d.budgetBounds != nil {
			config.Resize(d.budgetBounds(shard))
		}
		created := hedge.NewBudget(config)
		budget = &created
		d.budgets[shard] = budget
	}
	budget.Pass(d.now)
	return budget
}

// ResizeBudgets changes the bounds of the budget of each shard, if
// Config.BudgetByShard. It keeps the function, which must be pure.
func (d *Dispatcher) ResizeBudgets(bounds func(shard int) hedge.Bounds) {
	d.budgetBounds = bounds
	for shard, budget := range d.budgets {
		budget.Resize(bounds(shard))
	}
}
