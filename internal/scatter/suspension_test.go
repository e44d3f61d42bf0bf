package scatter

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/rows"
)

// jumping is a Clock that runs and counts a suspension that the timers of the process
// do not see.
type suspendableClock struct {
	clock.Clock
	suspended atomic.Int64
}

func newSuspendableClock() *suspendableClock { return &suspendableClock{Clock: clock.NewMonotonic()} }

func (c *suspendableClock) Now() time.Duration {
	return c.Clock.Now() + time.Duration(c.suspended.Load())
}

func (c *suspendableClock) suspend(length time.Duration) { c.suspended.Add(int64(length)) }

func newTestConnWithClock(leaves StatementExecutor, clock *suspendableClock, guard Guard) *Conn[string, rows.Table] {
	conn := NewConn(Config[string, rows.Table]{
		Service: "rate-desk", AttemptPrefix: "test", Leaves: Statements{leaves}, Clock: clock,
		Guard: guard, Metrics: NewMetrics(prometheus.NewRegistry()),
	}, dispatch.New(dispatch.DefaultConfig(), rand.New(rand.NewPCG(1, 2))))
	conn.SetTopology(testTopology())
	return conn
}

// TestSuspensionBeforeASend: what was decided on before, and whose time is over since,
// is not sent, though no timer has gone off.
func TestSuspensionBeforeSend(t *testing.T) {
	leaves, time := newFaultyLeaves(1), newSuspendableClock()
	request := testRequest(0)
	conn := newTestConnWithClock(leaves, time, func() error {
		time.suspend(request.Timeout)
		return nil
	})
	result := conn.Execute(context.Background(), request)
	conn.Close()
	if result.Outcome != dispatch.OutcomeNotRun || len(leaves.executed) != 0 {
		t.Errorf("outcome %s, executions %v", result.Outcome, leaves.executed)
	}
}

// TestWakeEndsWhatHasExpired, at once: the timers are late by the suspension.
func TestWakeExpiresQueries(t *testing.T) {
	leaves, suspended := &stuckLeaves{cancelled: make(chan struct{}, 2*testShards*testReplicas)}, newSuspendableClock()
	conn := newTestConnWithClock(leaves, suspended, allowAlways)
	request := testRequest(1)
	request.Timeout = time.Hour
	ended := make(chan Result[rows.Table], 1)
	go func() { ended <- conn.Execute(context.Background(), request) }()
	for conn.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	suspended.suspend(time.Hour)
	conn.Wake()
	if result := <-ended; result.Reason != dispatch.ReasonDeadline {
		t.Errorf("reason %s", result.Reason)
	}
	conn.Close()
}
