package scatter

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/hedge"
	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/leaf"
)

// The methods in this file forward a call to the Dispatcher under the mutex of the QueryRunner,
// because the Dispatcher is not safe for concurrent use.

// ResizeBudgets sets the bounds of the extra load that the dispatcher may cause at each shard. The
// dispatcher keeps the function, which must be pure.
func (c *QueryRunner[Q, P]) ResizeBudgets(bounds func(shard int) hedge.Bounds) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.ResizeBudgets(bounds)
}

// SetProbeInterval sets the interval between probes of a slow leaf.
func (c *QueryRunner[Q, P]) SetProbeInterval(interval time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.SetProbeInterval(interval)
}

// SetAllowance sets the allowance of the canaries of a shard. With nil they receive no attempts.
func (c *QueryRunner[Q, P]) SetAllowance(shard int, allowance *rollout.Allowance) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.SetAllowance(shard, allowance)
}

// Grant permits the dispatcher to spend the allowance of a shard until the given time.
func (c *QueryRunner[Q, P]) Grant(shard int, until dispatch.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.Grant(shard, until)
}

// Burst permits the dispatcher to spend the whole allowance of a shard without a reserve.
func (c *QueryRunner[Q, P]) Burst(shard int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dispatcher.Burst(shard)
}

// InFlightAt returns the number of attempts in flight at the leaves whose boot ID match selects.
func (c *QueryRunner[Q, P]) InFlightAt(match func(bootID string) bool) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.InFlightAt(match)
}

// Stop announces the end of the process to the dispatcher. Every query ends by then. Attempts that
// wait for a connection are decided again, since there is less time for them.
func (c *QueryRunner[Q, P]) Stop(endAt dispatch.Time) {
	c.applyDecision(func(now dispatch.Time) []dispatch.Action {
		for _, attempt := range c.attempts {
			attempt.withdraw()
		}
		return c.dispatcher.Stop(now, endAt)
	})
}

// Observe passes a load report of a leaf to the dispatcher.
func (c *QueryRunner[Q, P]) Observe(address netip.AddrPort, load leaf.LoadSummary) {
	c.applyDecision(func(now dispatch.Time) []dispatch.Action {
		return c.dispatcher.Observe(now, address, load)
	})
}

// LeafStates returns the dispatcher's state of each leaf.
func (c *QueryRunner[Q, P]) LeafStates() []dispatch.LeafState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.LeafStates()
}

// Counters returns the dispatcher's counters.
func (c *QueryRunner[Q, P]) Counters() dispatch.Counters {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.Counters()
}

// Load returns the dispatcher's current load.
func (c *QueryRunner[Q, P]) Load() dispatch.Load {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dispatcher.Load()
}

// InFlight returns the number of queries that have not ended.
func (c *QueryRunner[Q, P]) InFlight() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.queries)
}
