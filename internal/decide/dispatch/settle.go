// Rule: settling. A query ends when all its shards are answered, when an answer is impossible, or
// at its deadline. An answer is impossible after an attempt of unknown outcome or an invalid
// statement, if no shard or too few shards can still be answered, also because the leaves of the
// others are down, or if a query that may run once has no attempt at the time of its last send.
// A query that may run once and has an attempt in flight at its deadline waits for its end for
// Query.OutcomeWait. With enough coverage a query also ends when no shard is outstanding any more,
// or at its settle time shortly before the objective or deadline. While the process stops, a query
// without an attempt in flight also ends once it gets no more attempts (stop.go).
//
// Inputs: shards answered, unavailable and needed, the minimum coverage (share from 0 to 1), the
// settle time (coverage.Config), the deadline, the time of the last send; for each shard, the
// attempts sent and lost.
//
// Reason: waiting has no value once the outcome cannot improve, and an answer after the objective
// has little value. A late outcome of a query that may run once has value: without it the caller
// cannot know whether to submit the query again under a new id.

package dispatch

// settle returns the outcome and reason of a query that has to end now, and whether it has to.
func (d *Dispatcher) settle(q *query) (Outcome, Reason, bool) {
	progress := q.progress
	switch {
	case progress.Complete():
		return OutcomeAnswered, ReasonNone, true
	case q.findings.unknown:
		return OutcomeUnknown, ReasonConnectionLost, true
	case q.findings.invalid:
		return q.failureOutcome(), ReasonInvalid, true
	case q.inFlight == 0 && d.tooLateForStop(q):
		return q.outcomeAtStop(), ReasonStopping, true
	case !q.Class.Repeatable && q.inFlight == 0 && d.now >= d.lastSend(q):
		return q.failureOutcome(), ReasonDeadline, true
	case progress.Unanswerable():
		return q.failureOutcome(), q.findings.lastReason, true
	case d.config.RequireCoverage && !progress.CanMeetMinimum(q.MinimumCoverage):
		return q.failureOutcome(), q.findings.lastReason, true
	case d.config.RequireCoverage && d.coverageBlockedByDownLeaves(q):
		return q.failureOutcome(), ReasonNoLeaf, true
	case q.awaitsOutcome(d.now):
		return "", ReasonNone, false
	case d.now >= q.Deadline && (d.config.RequireCoverage || d.endsByStop(q)) && !progress.MeetsMinimum(q.MinimumCoverage):
		return q.failureOutcome(), d.deadlineReason(q), true
	case d.now >= q.Deadline && progress.Answered > 0:
		return OutcomePartial, d.deadlineReason(q), true
	case d.now >= q.Deadline:
		return q.failureOutcome(), d.deadlineReason(q), true
	case !progress.MeetsMinimum(q.MinimumCoverage):
		return "", ReasonNone, false
	case progress.NoneAwaited():
		return OutcomePartial, q.findings.lastReason, true
	case d.now >= q.settleAt:
		return OutcomePartial, ReasonDeadline, true
	default:
		return "", ReasonNone, false
	}
}

// awaitsOutcome reports whether the query is past its deadline and waits for the end of its attempt.
func (q *query) awaitsOutcome(now Time) bool {
	return !q.Class.Repeatable && q.inFlight > 0 && now >= q.Deadline && now < q.Deadline+q.OutcomeWait
}

// failureOutcome returns the outcome of a query that ends without an answer.
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

// mayAttempt reports whether the shard may get another attempt. Attempts that provably did not
// execute do not count towards the query's own bound.
func (q *query) mayAttempt(shard *shardState, config *Config) bool {
	if int(shard.attempts) >= config.MaximumAttempts {
		return false
	}
	return q.MaximumAttempts == 0 || int(shard.attempts-shard.unexecutedAttempts) < q.MaximumAttempts
}

// attemptsExhausted reports whether the shard may get no further attempt, because of all its
// attempts or of those that were lost.
func (q *query) attemptsExhausted(shard *shardState, config *Config) bool {
	return !q.mayAttempt(shard, config) || int(shard.lostAttempts) >= config.MaximumLostAttempts
}
