// Rule: give up and settle. A query ends when all its shards are answered, when an answer
// is impossible (attempt of unknown fate, invalid statement, no shard or too few that can
// still be answered, also since the leaves of the others are down) or at its deadline; with enough coverage it also ends when no shard
// is awaited any more, or at its settle time shortly before the objective or deadline.
//
// Inputs: shards answered, unavailable and needed, the least coverage (share from 0 to 1),
// the settle time (coverage.Config), the deadline; by shard, the attempts sent and lost.
//
// Reason: waiting on has no worth once the outcome cannot improve, and an answer that
// comes after the objective is worth little.
//
// Measured: the figures of the settle time are with coverage.Config. Not measured by
// itself: that a query ends at once which no budget or leaf can complete.

package dispatch

// settle decides whether and how a query ends now.
func (d *Dispatcher) settle(q *query) (Outcome, Reason, bool) {
	progress := q.progress
	switch {
	case progress.Whole():
		return OutcomeAnswered, ReasonNone, true
	case q.findings.unknown:
		return OutcomeUnknown, ReasonLost, true
	case q.findings.invalid:
		return q.failureOutcome(), ReasonInvalid, true
	case progress.Hopeless():
		return q.failureOutcome(), q.findings.lastReason, true
	case d.config.RequireCoverage && !progress.Attainable(q.MinimumCoverage):
		return q.failureOutcome(), q.findings.lastReason, true
	case d.config.RequireCoverage && d.coverageBlockedByDownLeaves(q):
		return q.failureOutcome(), ReasonNoLeaf, true
	case d.now >= q.Deadline && d.config.RequireCoverage && !progress.Enough(q.MinimumCoverage):
		return q.failureOutcome(), ReasonDeadline, true
	case d.now >= q.Deadline && progress.Answered > 0:
		return OutcomePartial, ReasonDeadline, true
	case d.now >= q.Deadline:
		return q.failureOutcome(), ReasonDeadline, true
	case !progress.Enough(q.MinimumCoverage):
		return "", ReasonNone, false
	case progress.Exhausted():
		return OutcomePartial, q.findings.lastReason, true
	case d.now >= q.settleAt:
		return OutcomePartial, ReasonDeadline, true
	default:
		return "", ReasonNone, false
	}
}

// failure returns the outcome of a query that ends without any answer.
func (q *query) failureOutcome() Outcome {
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
func (q *query) mayAttempt(shard *shardState, config *Config) bool {
	if int(shard.attempts) >= config.MaximumAttempts {
		return false
	}
	return q.MaximumSends == 0 || int(shard.attempts-shard.unexecutedAttempts) < q.MaximumSends
}

// usedUp reports whether the shard gets no first or next attempt any more.
func (q *query) attemptsExhausted(shard *shardState, config *Config) bool {
	return !q.mayAttempt(shard, config) || int(shard.lostAttempts) >= config.MaximumLostAttempts
}
