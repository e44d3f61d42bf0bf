// Rule: second attempts. A shard gets another attempt after one that ended without an
// answer, or beside one that is late; attempts that may have executed before, or execute
// beside another one, are extra load and paid for by a budget (budget.go).
//
//	cause    caused by                        paid by         bounded by         withheld while
//	needed   a shard without an attempt       nothing; it     one a shard and    no leaf has room (queued)
//	                                          earns a share   snapshot
//	resend   proof that the last attempt did  nothing         MaximumSends       no leaf has room (queued)
//	         not execute
//	retry    an attempt that was lost after   a token, also   MaximumSends,      no budget (parked, or given up with
//	         it was sent, replaced as too     into debt       MaximumLost,       EndWithoutBudget); the query is
//	         old, or refused where refusals                   Query.             suspected (withhold.go); no leaf
//	         are charged (ChargeRefusals)                     MaximumSends       has room (queued)
//	restart  a newer snapshot, for as many    as retry        as retry; once a   as retry
//	         shards as may have executed,                     query
//	         and their retries
//	hedge    an only attempt that is older    a token above   MaximumSends,      no leaf with room is expected to
//	         than the hedge delay             the reserve;    Query.             answer in time; other shards wait
//	                                          late in a       MaximumSends; one  for these leaves; the query is
//	                                          query as retry  beside an attempt  suspected
//	probe    a leaf in probation without an   a token above   as hedge; one a    the shard is not answered, unless
//	         attempt for the probe interval   the reserve     probe interval     it is the only one of its query
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
// Retries of a query that restarted count as restarts.
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

// count books the attempt with the budget and the counters.
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
