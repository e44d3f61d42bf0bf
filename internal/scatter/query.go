package scatter

import (
	"context"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// query is one query in progress.
type query[Q, P any] struct {
	request  Request[Q]
	deadline dispatch.Time
	parts    map[dispatch.AttemptID]P
	failure  *P
	detail   string
	begun    dispatch.Time
	trace    []AttemptTrace
	done     chan Result[P]
	// ctx ends at the deadline, and all attempts with it.
	ctx    context.Context
	expire context.CancelFunc
	// open counts what keeps ctx: the query and its attempts.
	open int
}

func (c *Conn[Q, P]) submit(request Request[Q]) *query[Q, P] {
	running := &query[Q, P]{
		request: request,
		parts:   make(map[dispatch.AttemptID]P),
		done:    make(chan Result[P], 1),
	}
	c.step(func(now dispatch.Time) []dispatch.Action {
		if c.closed {
			running.done <- Result[P]{Finish: closedFinish()}
			return nil
		}
		c.lastQuery++
		running.begun, running.deadline = now, now+request.Timeout
		running.ctx, running.expire = context.WithTimeout(context.Background(), request.Timeout)
		running.open = 1
		c.queries[c.lastQuery] = running
		return c.dispatcher.Submit(now, request.query(c.lastQuery, now))
	})
	return running
}

// query returns a request as the Dispatcher takes it.
func (r *Request[Q]) query(id dispatch.QueryID, now dispatch.Time) dispatch.Query {
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
func closedFinish() dispatch.Finish {
	return dispatch.Finish{Outcome: dispatch.OutcomeNotRun, Reason: dispatch.ReasonStopped}
}

// finish hands a query its result.
func (c *Conn[Q, P]) finish(finish dispatch.Finish) {
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
	ended.done <- result
}

// release frees the context once neither the query nor an attempt of it is open.
func (q *query[Q, P]) release() {
	q.open--
	if q.open == 0 {
		q.expire()
	}
}
