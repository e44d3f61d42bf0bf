// Rule: second attempts. A shard gets another attempt after an attempt that ended without an
// answer, or in parallel with a late attempt. Attempts that may repeat the execution of an earlier
// one are extra load, and a budget pays for them (budget.go). The causes of attempts:
//
//	needed   A shard without an attempt. It costs nothing and earns a share of a token. At most
//	         one per shard and snapshot; queued while no leaf has room.
//	resend   Proof that the previous attempt did not execute. It costs nothing. Bounded by
//	         MaximumAttempts; queued while no leaf has room.
//	retry    An attempt that was lost after it was sent, was replaced because it was too late, or
//	         was refused where refusals are charged (ChargeRefusals). It costs a token and may
//	         run into debt. Bounded by MaximumAttempts, MaximumLostAttempts and
//	         Query.MaximumAttempts. Parked while the budget does not pay for it, or given up with
//	         EndWithoutBudget; withheld while the query is suspected (withhold.go); queued while
//	         no leaf has room.
//	restart  A newer snapshot, for as many shards as may have executed, and the retries of these
//	         shards. Costs and conditions are those of a retry; at most one restart per query.
//	hedge    A single attempt that is older than the hedge delay. It costs a token above the
//	         reserve; late in a query it is charged as a retry. Bounded by MaximumAttempts and
//	         Query.MaximumAttempts; one hedge in parallel with an attempt. Not sent while no leaf
//	         with room is expected to answer in time, other shards wait for these leaves, or the
//	         query is suspected.
//	probe    A leaf in probation without an attempt for the probe interval. It costs a token above
//	         the reserve. Bounded as a hedge; one per probe interval. Sent only after the shard
//	         is answered, unless it is the only shard of its query.
//
// Requests that must not be repeated get resends only, never a second attempt after an attempt that
// may have executed.
//
// Inputs: the end of the previous attempt, its age, the budget (tokens, one per attempt).

package dispatch

// Cause is the reason why an attempt is sent.
type Cause string

// The causes of attempts.
const (
	CauseNeeded  Cause = "needed"  // the first attempt of a shard
	CauseResend  Cause = "resend"  // follows an attempt that provably did not execute
	CauseRetry   Cause = "retry"   // follows an attempt that was lost or is charged
	CauseRestart Cause = "restart" // repeats the shard at another snapshot
	CauseHedge   Cause = "hedge"   // runs in parallel with a late attempt
	CauseProbe   Cause = "probe"   // measures a slow leaf
)

// extra reports whether attempts with this cause count as extra load.
func (c Cause) extra() bool {
	switch c {
	case CauseNeeded, CauseResend:
		return false
	default:
		return true
	}
}

// nextCause returns the cause of the next attempt of a shard without an attempt in flight. Retries
// of a query that was restarted count as restarts.
func nextCause(q *query, shard *shardState) Cause {
	switch {
	case shard.needsRetry && q.restarted:
		return CauseRestart
	case shard.needsRetry, shard.chargeNext:
		return CauseRetry
	case shard.resend || shard.attempts > 0:
		return CauseResend
	default:
		return CauseNeeded
	}
}

// chargeAttempt charges the attempt to the budget and counts it.
func (d *Dispatcher) chargeAttempt(q *query, position int32, cause Cause) {
	budget := d.budgetFor(q, position)
	switch cause {
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
