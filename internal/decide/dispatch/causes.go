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

// cause says why an attempt was sent.
type cause uint8

const (
	causeNeeded  cause = iota // the first attempt of a shard
	causeResend               // after proof that the former did not execute
	causeRetry                // after one that was lost
	causeRestart              // again, at another snapshot
	causeHedge                // beside one that is late
	causeProbe                // beside one, to measure a slow leaf
)

// public returns the cause as actions carry it.
func (c cause) public() Cause {
	switch c {
	case causeResend:
		return CauseResend
	case causeRetry:
		return CauseRetry
	case causeRestart:
		return CauseRestart
	case causeHedge:
		return CauseHedge
	case causeProbe:
		return CauseProbe
	default:
		return CauseNeeded
	}
}

func (c cause) extra() bool {
	return c >= causeRetry
}

func nextCause(q *query, shard *shardState) cause {
	switch {
	case shard.needsRetry && q.restarted:
		return causeRestart
	case shard.needsRetry, shard.chargeNext:
		return causeRetry
	case shard.resend || shard.sends > 0:
		return causeResend
	default:
		return causeNeeded
	}
}

// count books the attempt with the budget and the counters.
func (d *Dispatcher) count(q *query, position int32, why cause) {
	budget := d.budgetOf(q, position)
	switch why {
	case causeNeeded:
		d.counters.Needed++
		d.earnAllowance(q.shardAt(int(position)))
		budget.Earn(q.Class.ExtraLoad)
	case causeResend:
		d.counters.Resent++
	case causeRetry:
		d.counters.Retries++
		budget.SpendRetry(1)
	case causeRestart:
		d.counters.RestartSends++
		budget.SpendRetry(1)
	case causeHedge:
		d.counters.Hedges++
	case causeProbe:
		d.counters.Probes++
	}
}
