package scatter

import (
	"context"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// runningQuery is a query that has been submitted and has unfinished work.
type runningQuery[Q, P any] struct {
	request Request[Q]
	// parts holds the replies by attempt until the query finishes.
	parts map[dispatch.AttemptID]P
	// failure is the last answer with which a leaf itself failed; nil if none did.
	failure *P
	// detail is the leaf's explanation of a RefusedInvalid refusal.
	detail      string
	submittedAt dispatch.Time
	// traced is set if the attempts are recorded in trace.
	traced bool
	trace  []AttemptTrace
	result chan Result[P]
	// ctx is the parent context of all attempts. It ends when no end of an attempt is awaited any
	// more.
	ctx    context.Context
	cancel context.CancelFunc
	// references counts the holders of ctx: the query itself and its running attempts.
	references int
}

// submit passes a request to the dispatcher. A closed QueryRunner answers it immediately.
func (c *QueryRunner[Q, P]) submit(request Request[Q]) *runningQuery[Q, P] {
	query := &runningQuery[Q, P]{
		request: request,
		traced:  c.config.Trace || !request.Class.Repeatable,
		parts:   make(map[dispatch.AttemptID]P),
		result:  make(chan Result[P], 1),
	}
	c.applyDecision(func(now dispatch.Time) []dispatch.Action {
		if c.closed {
			query.result <- Result[P]{Finish: stoppedFinish()}
			return nil
		}
		c.lastQueryID++
		query.submittedAt = now
		query.ctx, query.cancel = context.WithTimeout(context.Background(), request.Timeout+request.OutcomeWait)
		query.references = 1
		c.queries[c.lastQueryID] = query
		return c.dispatcher.Submit(now, request.dispatchQuery(c.lastQueryID, now))
	})
	return query
}

// dispatchQuery converts the request to a query of the dispatcher.
func (r *Request[Q]) dispatchQuery(id dispatch.QueryID, now dispatch.Time) dispatch.Query {
	query := dispatch.Query{
		ID:              id,
		Class:           r.Class,
		KeyHash:         r.KeyHash,
		HasKey:          r.HasKey,
		Shards:          r.Shards,
		Deadline:        now + r.Timeout,
		OutcomeWait:     r.OutcomeWait,
		HedgeDelay:      r.HedgeDelay,
		MaximumAttempts: r.MaximumSends,
		MinimumCoverage: r.MinimumCoverage,
	}
	if r.Objective > 0 {
		query.Objective = now + r.Objective
	}
	return query
}

// stoppedFinish returns the result of a query that was submitted after Close.
func stoppedFinish() dispatch.Finish {
	return dispatch.Finish{Outcome: dispatch.OutcomeNotRun, Reason: dispatch.ReasonStopped}
}

// finishQuery delivers the result of a query to its caller.
func (c *QueryRunner[Q, P]) finishQuery(finish dispatch.Finish) {
	query := c.queries[finish.Query]
	if query == nil {
		return
	}
	delete(c.queries, finish.Query)
	query.release()
	result := Result[P]{Finish: finish, Detail: query.detail, Attempts: query.trace}
	if query.failure != nil {
		result.Failure, result.HasFailure = *query.failure, true
	}
	for _, answer := range finish.Answered {
		result.Parts = append(result.Parts, ShardPart[P]{Shard: answer.Shard, Part: query.parts[answer.Attempt]})
	}
	query.result <- result
}

// release drops one reference, and cancels ctx when the last one is gone. The caller holds
// QueryRunner.mutex.
func (q *runningQuery[Q, P]) release() {
	q.references--
	if q.references == 0 {
		q.cancel()
	}
}
