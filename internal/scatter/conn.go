package scatter

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// QueryRunner runs the queries of one service on its leaves. It is safe for concurrent use.
type QueryRunner[Q, P any] struct {
	config Config[Q, P]

	// mutex guards the fields below, except goroutines.
	mutex       sync.Mutex
	dispatcher  *dispatch.Dispatcher
	topology    dispatch.Topology
	usable      map[netip.AddrPort]bool
	lastQueryID dispatch.QueryID
	queries     map[dispatch.QueryID]*runningQuery[Q, P]
	attempts    map[dispatch.AttemptID]*runningAttempt
	timer       *time.Timer
	closed      bool
	// goroutines counts the goroutines of running attempts.
	goroutines sync.WaitGroup
}

// NewQueryRunner returns a QueryRunner that takes ownership of the dispatcher.
func NewQueryRunner[Q, P any](config Config[Q, P], dispatcher *dispatch.Dispatcher) *QueryRunner[Q, P] {
	conn := &QueryRunner[Q, P]{
		config:     config,
		dispatcher: dispatcher,
		queries:    make(map[dispatch.QueryID]*runningQuery[Q, P]),
		attempts:   make(map[dispatch.AttemptID]*runningAttempt),
	}
	conn.timer = time.AfterFunc(time.Hour, conn.tick)
	conn.timer.Stop()
	return conn
}

// Execute runs a query and blocks until it ends. If ctx ends first, the query is cancelled together
// with its attempts in flight.
func (c *QueryRunner[Q, P]) Execute(ctx context.Context, request Request[Q]) Result[P] {
	query := c.submit(request)
	select {
	case result := <-query.result:
		return result
	case <-ctx.Done():
	}
	c.applyDecision(func(now dispatch.Time) []dispatch.Action {
		for id, candidate := range c.queries {
			if candidate == query {
				return c.dispatcher.Cancel(now, id)
			}
		}
		return nil
	})
	return <-query.result
}

// Close rejects new queries and blocks until every running attempt has ended.
func (c *QueryRunner[Q, P]) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.goroutines.Wait()
	c.timer.Stop()
}

// applyDecision calls the dispatcher under the mutex, performs the actions that it returns and
// resets the timer.
func (c *QueryRunner[Q, P]) applyDecision(decide func(now dispatch.Time) []dispatch.Action) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	actions := decide(c.config.Clock.Now())
	for _, action := range actions {
		c.perform(action)
	}
	c.resetTimer()
}

func (c *QueryRunner[Q, P]) perform(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Send:
		c.startAttempt(action)
	case dispatch.Abort:
		c.abortAttempt(action)
	case dispatch.Finish:
		c.finishQuery(action)
	}
}

// resetTimer sets the timer to the dispatcher's next tick, or stops it if there is none.
func (c *QueryRunner[Q, P]) resetTimer() {
	next, ok := c.dispatcher.NextTick()
	if !ok {
		c.timer.Stop()
		return
	}
	c.timer.Reset(max(next-c.config.Clock.Now(), 0))
}

func (c *QueryRunner[Q, P]) tick() {
	c.applyDecision(c.dispatcher.Tick)
}

// Tick ends the queries that have expired. It is needed after the machine was suspended, because
// process timers do not advance during a suspension and fire late.
func (c *QueryRunner[Q, P]) Tick() { c.tick() }
