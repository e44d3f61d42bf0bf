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

	mutex      sync.Mutex
	dispatcher *dispatch.Dispatcher
	topology   dispatch.Topology
	usable     map[netip.AddrPort]bool
	lastQuery  dispatch.QueryID
	queries    map[dispatch.QueryID]*query[Q, P]
	attempts   map[dispatch.AttemptID]*attempt
	timer      *time.Timer
	closed     bool
	running    sync.WaitGroup
}

// NewConn returns a Conn that owns the dispatcher from now on.
func NewConn[Q, P any](config Config[Q, P], dispatcher *dispatch.Dispatcher) *Conn[Q, P] {
	conn := &Conn[Q, P]{
		config:     config,
		dispatcher: dispatcher,
		queries:    make(map[dispatch.QueryID]*query[Q, P]),
		attempts:   make(map[dispatch.AttemptID]*attempt),
	}
	conn.timer = time.AfterFunc(time.Hour, conn.tick)
	conn.timer.Stop()
	return conn
}

// Execute runs a query and blocks until it ends. When ctx ends, because the
// caller went away, the attempts in flight are cancelled.
func (c *Conn[Q, P]) Execute(ctx context.Context, request Request[Q]) Result[P] {
	running := c.submit(request)
	select {
	case result := <-running.done:
		return result
	case <-ctx.Done():
	}
	c.step(func(now dispatch.Time) []dispatch.Action {
		for id, candidate := range c.queries {
			if candidate == running {
				return c.dispatcher.Cancel(now, id)
			}
		}
		return nil
	})
	return <-running.done
}

// Close refuses new queries and blocks until the running ones have ended and
// every attempt has reported.
func (c *Conn[Q, P]) Close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.running.Wait()
	c.timer.Stop()
}

// step runs one call to the dispatcher and performs what it decided.
func (c *Conn[Q, P]) step(decide func(now dispatch.Time) []dispatch.Action) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	actions := decide(c.config.Clock.Now())
	for _, action := range actions {
		c.perform(action)
	}
	c.schedule()
}

func (c *Conn[Q, P]) perform(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Send:
		c.start(action)
	case dispatch.Abort:
		c.abort(action)
	case dispatch.Finish:
		c.finish(action)
	}
}

// schedule sets the timer to the dispatcher's next deadline.
func (c *Conn[Q, P]) schedule() {
	next, wanted := c.dispatcher.NextTick()
	if !wanted {
		c.timer.Stop()
		return
	}
	c.timer.Reset(max(next-c.config.Clock.Now(), 0))
}

func (c *Conn[Q, P]) tick() {
	c.step(c.dispatcher.Tick)
}

// Wake ends what has expired. After a suspension of the machine the timer fires too
// late for it.
func (c *Conn[Q, P]) Wake() { c.tick() }
