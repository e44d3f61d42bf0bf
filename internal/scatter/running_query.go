package scatter

import (
	"context"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// query is one query in progress.
type runningQuery[Q, P any] struct {
	request     Request[Q]
	deadline    dispatch.Time
	parts       map[dispatch.AttemptID]P
	failure     *P
	detail      string
	submittedAt dispatch.Time
	trace       []AttemptTrace
	result      chan Result[P]
	// ctx ends at the deadline, and all attempts with it.
	ctx    context.Context
	cancel context.CancelFunc
	// open counts what keeps ctx: the query and its attempts.
	references int
}

func (c *Conn[Q, P]) submit(request Request[Q]) *runningQuery[Q, P] {
	query := &runningQuery[Q, P]{
		request: request,
		parts:   make(map[dispatch.AttemptID]P),
		result:  make(chan Result[P], 1),
	}
	c.applyDecision(func(now dispatch.Time) []dispatch.Action {
		if c.closed {
			query.result <- Result[P]{Finish: stoppedFinish()}
			return nil
		}
		c.lastQueryID++
		query.submittedAt, query.deadline = now, now+request.Timeout
		query.ctx, query.cancel = context.WithTimeout(context.Background(), request.Timeout)
		query.references = 1
		c.queries[c.lastQueryID] = query
		return c.dispatcher.Submit(now, request.dispatchQuery(c.lastQueryID, now))
	})
	return query
}

// query returns a request as the Dispatcher takes it.
func (r *Request[Q]) dispatchQuery(id dispatch.QueryID, now dispatch.Time) dispatch.Query {
	submitted := dispatch.Query{
		ID:              id,
		Class:           r.Class,
		KeyHash:         r.KeyHash,
		HasKey:          r.HasKey,
		Shards:          r.Shards,
		Deadline:        now + r.Timeout,
		HedgeDelay:      r.HedgeDelay,
		MaximumSends:    r.MaximumSends,
		MinimumCoverage: r.MinimumCoverage,
	}
	if r.Objective > 0 {
		submitted.Objective = now + r.Objective
	}
	return submitted
}

// closedFinish ends a query that came after Close.
func stoppedFinish() dispatch.Finish {
	return dispatch.Finish{Outcome: dispatch.OutcomeNotRun, Reason: dispatch.ReasonStopped}
}

// finish hands a query its result.
func (c *Conn[Q, P]) finishQuery(finish dispatch.Finish) {
	ended := c.queries[finish.Query]
	if ended == nil {
		return
	}
	delete(c.queries, finish.Query)
	ended.release()
	result := Result[P]{Finish: finish, Detail: ended.detail, Attempts: ended.trace}
	if ended.failure != nil {
		result.Failure, result.HasFailure = *ended.failure, true
	}
	for _, answer := range finish.Answered {
		result.Parts = append(result.Parts, ShardPart[P]{Shard: answer.Shard, Part: ended.parts[answer.Attempt]})
	}
	ended.result <- result
}

// release frees the context once neither the query nor an attempt of it is open.
func (q *runningQuery[Q, P]) release() {
	q.references--
	if q.references == 0 {
		q.cancel()
	}
}
