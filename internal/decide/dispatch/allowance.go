package dispatch

import "github.com/micaplank/micaplank/internal/decide/rollout"

// SetAllowance says what a shard's canaries may get; nil for nothing.
func (d *Dispatcher) SetAllowance(shard int, allowance *rollout.Allowance) {
	if allowance == nil {
		delete(d.allowances, shard)
		return
	}
	if d.allowances == nil {
		d.allowances = make(allowances)
	}
	d.allowances[shard] = allowance
}

// Grant lets the allowance of a shard be spent until a time.
func (d *Dispatcher) Grant(shard int, until Time) {
	if allowance, ok := d.allowances[shard]; ok {
		allowance.Grant(until)
	}
}

// Burst lets the allowance of a shard be spent without keeping any back.
func (d *Dispatcher) Burst(shard int) {
	if allowance, ok := d.allowances[shard]; ok {
		allowance.Burst()
	}
}

// allowances are what the canaries of shards may get, by shard; nil without any.
type allowances map[int]*rollout.Allowance

// earn books a request that is sent to a shard.
func (a allowances) earn(shard int, now Time) {
	if allowance, ok := a[shard]; ok {
		allowance.Earn(now)
	}
}

// allow reports whether an attempt at a canary of the shard may be sent now.
func (a allowances) allows(shard int, now Time) bool {
	allowance, ok := a[shard]
	return ok && allowance.Allows(now)
}

// spend books an attempt at a canary of the shard.
func (a allowances) spend(shard int) {
	if allowance, ok := a[shard]; ok {
		allowance.Spend()
	}
}
