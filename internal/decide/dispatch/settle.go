package dispatch

// settle decides whether and how a query ends now.
func (d *Dispatcher) settle(q *query) (Outcome, Reason, bool) {
	progress := q.progress
	switch {
	case progress.Whole():
		return OutcomeAnswered, ReasonNone, true
	case q.unknown:
		return OutcomeUnknown, ReasonLost, true
	case q.invalid:
		return q.failure(), ReasonInvalid, true
	case progress.Hopeless():
		return q.failure(), q.lastReason, true
	case d.config.RequireCoverage && !progress.Attainable(q.MinimumCoverage):
		return q.failure(), q.lastReason, true
	case d.now >= q.Deadline && d.config.RequireCoverage && !progress.Enough(q.MinimumCoverage):
		return q.failure(), ReasonDeadline, true
	case d.now >= q.Deadline && progress.Answered > 0:
		return OutcomePartial, ReasonDeadline, true
	case d.now >= q.Deadline:
		return q.failure(), ReasonDeadline, true
	case !progress.Enough(q.MinimumCoverage):
		return "", ReasonNone, false
	case progress.Exhausted():
		return OutcomePartial, q.lastReason, true
	case d.now >= q.settleAt:
		return OutcomePartial, ReasonDeadline, true
	default:
		return "", ReasonNone, false
	}
}

// failure returns the outcome of a query that ends without any answer.
func (q *query) failure() Outcome {
	switch {
	case !q.mayHaveRun():
		return OutcomeNotRun
	case !q.Class.Repeatable:
		return OutcomeUnknown
	default:
		return OutcomeFailed
	}
}

// maySend reports whether the shard may cause another attempt. Attempts that
// provably did not execute do not count against the query's own bound.
func (q *query) maySend(shard *shardState, config *Config) bool {
	if int(shard.sends) >= config.MaximumSends {
		return false
	}
	return q.MaximumSends == 0 || int(shard.sends-shard.unexecuted) < q.MaximumSends
}
