package scatter

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/leaf"
)

// These methods pass one question or change on to the Dispatcher, which is not safe for
// concurrent use.

// ResizeBudgets changes the bounds of the extra load that the dispatcher causes at each
// shard. It keeps the function, which must be pure.
func (c *Conn[Q, P]) ResizeBudgets(bounds func(shard int) hedge.Bounds) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.ResizeBudgets(bounds)
}

// SetProbeInterval changes the time between two probes of a slow leaf.
func (c *Conn[Q, P]) SetProbeInterval(interval time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.SetProbeInterval(interval)
}

// SetAllowance says what the canaries of a shard may get; nil for nothing.
func (c *Conn[Q, P]) SetAllowance(shard int, allowance *rollout.Allowance) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.SetAllowance(shard, allowance)
}

// Grant lets the allowance of a shard be spent until a time.
func (c *Conn[Q, P]) Grant(shard int, until dispatch.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.Grant(shard, until)
}

// Burst lets the allowance of a shard be spent without keeping any back.
func (c *Conn[Q, P]) Burst(shard int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.Burst(shard)
}

// InFlightAt returns how many attempts run at the leaves that a function selects by
// their boot id.
func (c *Conn[Q, P]) InFlightAt(selects func(boot string) bool) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.InFlightAt(selects)
}

// Observe hands the dispatcher what a leaf reports of its load.
func (c *Conn[Q, P]) Observe(address netip.AddrPort, load leaf.LoadSummary) {
	c.applyDecision(func(now dispatch.Time) []dispatch.Action {
		return c.dispatcher.Observe(now, address, load)
	})
}

// LeafStates describes the leaves as the dispatcher sees them.
func (c *Conn[Q, P]) LeafStates() []dispatch.LeafState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.LeafStates()
}

// Counters returns the dispatcher's counts.
func (c *Conn[Q, P]) Counters() dispatch.Counters {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.Counters()
}

// Load returns what the dispatcher holds now.
func (c *Conn[Q, P]) Load() dispatch.Load {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.Load()
}

// InFlight returns the number of queries that have not ended.
func (c *Conn[Q, P]) InFlight() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.queries)
}
