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

// suspendableClock is a Clock that can jump forward, as after a suspension of the machine. The
// timers of the process do not follow the jump.
type suspendableClock struct {
	clock.Clock
	suspended atomic.Int64
}

func newSuspendableClock() *suspendableClock { return &suspendableClock{Clock: clock.NewMonotonic()} }

func (c *suspendableClock) Now() time.Duration {
	return c.Clock.Now() + time.Duration(c.suspended.Load())
}

func (c *suspendableClock) suspend(length time.Duration) { c.suspended.Add(int64(length)) }

func newTestConnWithClock(leaves StatementExecutor, clock *suspendableClock, guard Guard) *QueryRunner[string, rows.Table] {
	conn := NewQueryRunner(Config[string, rows.Table]{
		Service: "rate-desk", AttemptPrefix: "test", Leaves: Statements{leaves}, Clock: clock,
		Guard: guard, Metrics: NewMetrics(prometheus.NewRegistry()),
	}, dispatch.New(dispatch.DefaultConfig(), rand.New(rand.NewPCG(1, 2))))
	conn.SetTopology(testTopology())
	return conn
}

// TestSuspensionBeforeSend suspends the machine between the decision and the send, until after the
// deadline of the query: the attempt is not sent, although no timer has fired.
func TestSuspensionBeforeSend(t *testing.T) {
	leaves, clock := newFaultyLeaves(1), newSuspendableClock()
	request := testRequest(0)
	conn := newTestConnWithClock(leaves, clock, func() error {
		clock.suspend(request.Timeout)
		return nil
	})
	result := conn.Execute(context.Background(), request)
	conn.Close()
	if result.Outcome != dispatch.OutcomeNotRun || len(leaves.executed) != 0 {
		t.Errorf("got outcome %s and executions %v, want %s and none", result.Outcome, leaves.executed, dispatch.OutcomeNotRun)
	}
}

// TestWakeExpiresQueries checks that Tick ends a query that expired during a suspension, without
// waiting for the timers, which are late by the length of the suspension.
func TestWakeExpiresQueries(t *testing.T) {
	leaves, clock := &stuckLeaves{cancelled: make(chan struct{}, 2*testShards*testReplicas)}, newSuspendableClock()
	conn := newTestConnWithClock(leaves, clock, allowAlways)
	request := testRequest(1)
	request.Timeout = time.Hour
	ended := make(chan Result[rows.Table], 1)
	go func() { ended <- conn.Execute(context.Background(), request) }()
	for conn.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.suspend(time.Hour)
	conn.Tick()
	if result := <-ended; result.Reason != dispatch.ReasonDeadline {
		t.Errorf("got reason %s, want %s", result.Reason, dispatch.ReasonDeadline)
	}
	conn.Close()
}
