package dispatch

import "github.com/micaplank/micaplank/internal/decide/rollout"

// SetAllowance says what a shard's canaries may get; nil for nothing.
func (d *Dispatcher) SetAllowance(shard int, allowance *rollout.Allowance) {
	if allowance == nil {
		delete(d.allowances, shard)
		return
	}
	if d.allowances == nil {
		d.allowances = make(map[int]*rollout.Allowance)
	}
	d.allowances[shard] = allowance
}

// Grant lets the allowance of a shard be spent until a time.
func (d *Dispatcher) Grant(shard int, until Time) {
	if allowance, found := d.allowances[shard]; found {
		allowance.Grant(until)
	}
}

// Burst lets the allowance of a shard be spent without keeping any back.
func (d *Dispatcher) Burst(shard int) {
	if allowance, found := d.allowances[shard]; found {
		allowance.Burst()
	}
}

// earnAllowance books a request that is sent to a shard.
func (d *Dispatcher) earnAllowance(shard int) {
	if len(d.allowances) == 0 {
		return
	}
	if allowance, found := d.allowances[shard]; found {
		allowance.Earn(d.now)
	}
}

// spendAllowance books an attempt at a canary.
func (d *Dispatcher) spendAllowance(shard int) {
	if allowance, found := d.allowances[shard]; found {
		allowance.Spend()
	}
}
