// Rule: second attempts. A shard gets another attempt after one that ended without an
// answer, or beside one that is late; attempts that may have executed before, or execute
// beside another one, are extra load and paid for by a budget (budget.go).
//
//	cause    caused by                          paid by             bounded by                withheld
//	needed   the first attempt of a shard       nothing; it earns   one a shard and pin       no leaf has room: queued
//	resend   proof that the former attempt      nothing             MaximumSends              no leaf has room: queued
//	         did not execute (refused, or no
//	         byte left the node)
//	retry    an attempt that was lost after it  SpendRetry, which   MaximumSends,             no budget: parked, or the shard is
//	         was sent, replaced because it is   may go into debt    MaximumLost,              given up (EndWithoutBudget); query
//	         too old, or refused where          (Budget.Debt)       Query.MaximumSends        suspected: see withhold.go
//	         refusals are charged
//	         (ChargeRefusals)
//	restart  a newer snapshot that covers more  SpendRetry          one restart a query;      as retry
//	         (restart.go); as many as may have                      MaximumSends
//	         executed before it
//	hedge    an only attempt older than the     SpendHedge, from    one beside an attempt;    no leaf with room is expected to
//	         hedge delay (hedge.go)             half of the time    MaximumSends, Query.      answer in time; shards are queued for
//	                                            on SpendRetry       MaximumSends              the group; query suspected
//	probe    a leaf in probation without an     SpendHedge          one a leaf and            beside a shard that is not answered
//	         attempt for the probe interval                         ProbeInterval;            yet, unless the query has one shard
//	         (probe.go)                                             MaximumSends
//
// Requests that may not be repeated get resends only: never a second attempt after one
// that may have executed.
//
// Inputs: how the former attempt ended, its age, the budget (tokens, one an attempt).
//
// Measured: see hedge.go, probe.go, restart.go, crash.go, withhold.go and budget.go.

package dispatch

// Cause says why an attempt is sent.
type Cause string

// The causes of attempts.
const (
	CauseNeeded  Cause = "needed"  // the first attempt of a shard
	CauseResend  Cause = "resend"  // after proof that the former did not execute
	CauseRetry   Cause = "retry"   // after one that was lost, or that is charged
	CauseRestart Cause = "restart" // again, at another snapshot
	CauseHedge   Cause = "hedge"   // beside one that is late
	CauseProbe   Cause = "probe"   // beside one, to measure a slow leaf
)

// extra reports whether attempts of the cause are beyond those needed.
func (c Cause) extra() bool {
	switch c {
	case CauseNeeded, CauseResend:
		return false
	default:
		return true
	}
}

// nextCause returns the cause of the next attempt of a shard that has none in flight.
func nextCause(q *query, shard *shardState) Cause {
	switch {
	case shard.needsRetry && q.restarted:
		return CauseRestart
	case shard.needsRetry, shard.chargeNext:
		return CauseRetry
	case shard.resend || shard.sends > 0:
		return CauseResend
	default:
		return CauseNeeded
	}
}

// count books the attempt with the budget and the counters.
func (d *Dispatcher) count(q *query, position int32, why Cause) {
	budget := d.budgetOf(q, position)
	switch why {
	case CauseNeeded:
		d.counters.Needed++
		d.allowances.earn(q.shardAt(int(position)), d.now)
		budget.Earn(q.Class.ExtraLoad)
	case CauseResend:
		d.counters.Resent++
	case CauseRetry:
		d.counters.Retries++
		budget.SpendRetry(1)
	case CauseRestart:
		d.counters.RestartSends++
		budget.SpendRetry(1)
	case CauseHedge:
		d.counters.Hedges++
	case CauseProbe:
		d.counters.Probes++
	}
}
