package scatter

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// Conn runs the queries of one service. It is safe for concurrent use.
type Conn[Q, P any] struct {
	config Config[Q, P]

	mutex       sync.Mutex
	dispatcher  *dispatch.Dispatcher
	topology    dispatch.Topology
	usable      map[netip.AddrPort]bool
	lastQueryID dispatch.QueryID
	queries     map[dispatch.QueryID]*runningQuery[Q, P]
	attempts    map[dispatch.AttemptID]*runningAttempt
	timer       *time.Timer
	closed      bool
	goroutines  sync.WaitGroup
}

// NewConn returns a Conn that owns the dispatcher from now on.
func NewConn[Q, P any](config Config[Q, P], dispatcher *dispatch.Dispatcher) *Conn[Q, P] {
	conn := &Conn[Q, P]{
		config:     config,
		dispatcher: dispatcher,
		queries:    make(map[dispatch.QueryID]*runningQuery[Q, P]),
		attempts:   make(map[dispatch.AttemptID]*runningAttempt),
	}
	conn.timer = time.AfterFunc(time.Hour, conn.tick)
	conn.timer.Stop()
	return conn
}

// Execute runs a query and blocks until it ends. When ctx ends, because the
// caller went away, the attempts in flight are cancelled.
func (c *Conn[Q, P]) Execute(ctx context.Context, request Request[Q]) Result[P] {
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

// Close refuses new queries and blocks until the running ones have ended and
// every attempt has reported.
func (c *Conn[Q, P]) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.goroutines.Wait()
	c.timer.Stop()
}

// step runs one call to the dispatcher and performs what it decided.
func (c *Conn[Q, P]) applyDecision(decide func(now dispatch.Time) []dispatch.Action) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	actions := decide(c.config.Clock.Now())
	for _, action := range actions {
		c.perform(action)
	}
	c.resetTimer()
}

func (c *Conn[Q, P]) perform(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Send:
		c.startAttempt(action)
	case dispatch.Abort:
		c.abortAttempt(action)
	case dispatch.Finish:
		c.finishQuery(action)
	}
}

// schedule sets the timer to the dispatcher's next deadline.
func (c *Conn[Q, P]) resetTimer() {
	next, wanted := c.dispatcher.NextTick()
	if !wanted {
		c.timer.Stop()
		return
	}
	c.timer.Reset(max(next-c.config.Clock.Now(), 0))
}

func (c *Conn[Q, P]) tick() {
	c.applyDecision(c.dispatcher.Tick)
}

// Wake ends what has expired. After a suspension of the machine the timer fires too
// late for it.
func (c *Conn[Q, P]) Wake() { c.tick() }
