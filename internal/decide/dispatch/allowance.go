package dispatch

import "github.com/micaplank/micaplank/internal/decide/rollout"

// SetAllowance sets the allowance for attempts at the canaries of a shard; nil removes it.
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

// Grant permits spending from the allowance of a shard until the given time.
func (d *Dispatcher) Grant(shard int, until Time) {
	if allowance, ok := d.allowances[shard]; ok {
		allowance.Grant(until)
	}
}

// Burst permits spending the whole allowance of a shard without a reserve.
func (d *Dispatcher) Burst(shard int) {
	if allowance, ok := d.allowances[shard]; ok {
		allowance.Burst()
	}
}

// allowances are the allowances for canary attempts by shard; nil if no shard has one.
type allowances map[int]*rollout.Allowance

// earn credits the allowance of a shard for a request that is sent to it.
func (a allowances) earn(shard int, now Time) {
	if allowance, ok := a[shard]; ok {
		allowance.Earn(now)
	}
}

// allows reports whether an attempt at a canary of the shard may be sent now.
func (a allowances) allows(shard int, now Time) bool {
	allowance, ok := a[shard]
	return ok && allowance.Allows(now)
}

// spend charges the allowance of a shard for an attempt at a canary.
func (a allowances) spend(shard int) {
	if allowance, ok := a[shard]; ok {
		allowance.Spend()
	}
}
