package scatter

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/linger"
	"github.com/micaplank/micaplank/internal/decide/presend"
	"github.com/micaplank/micaplank/internal/leaf"
)

// The steps of an attempt before the leaf client takes over.
const (
	stepGuard    leaf.Step = "scatter_guard"
	stepTopology leaf.Step = "scatter_topology"
	stepDeadline leaf.Step = "scatter_deadline"
)

// errNotUsable says that a leaf was given up between the decision and the send.
var errNotUsable = errors.New("the leaf takes no new work any more")

// attempt is one send in progress.
type attempt struct {
	send   dispatch.Send
	cancel context.CancelFunc
	// aborted is set before cancel is called, under the Conn's mutex.
	aborted bool
	// trace is its place in the trace of its query.
	trace int
	// linger cancels an aborted attempt later; nil without one.
	linger *time.Timer
}

// start sends an attempt in the background.
func (c *Conn[Q, P]) start(send dispatch.Send) {
	running := c.queries[send.Query]
	ctx, cancel := context.WithCancel(running.ctx)
	running.open++
	started := &attempt{send: send, cancel: cancel, trace: len(running.trace)}
	if c.config.Trace {
		running.trace = append(running.trace, AttemptTrace{Send: send, At: c.config.Clock.Now() - running.begun, End: EndOpen})
	}
	c.attempts[send.Attempt] = started
	c.running.Add(1)
	go c.run(ctx, started, running)
}

// abort gives up an attempt, at once or after a while (package linger).
func (c *Conn[Q, P]) abort(given dispatch.Abort) {
	started := c.attempts[given.Attempt]
	if started == nil {
		return
	}
	started.aborted = true
	wait := linger.Time(c.config.Linger, given.Overdue)
	if wait == 0 {
		started.cancel()
		return
	}
	started.linger = time.AfterFunc(wait, started.cancel)
}

// run performs one attempt and reports its end, exactly once.
func (c *Conn[Q, P]) run(ctx context.Context, started *attempt, running *query[Q, P]) {
	defer c.running.Done()
	defer started.cancel()
	response, err := c.execute(ctx, started.send, running)
	c.step(func(now dispatch.Time) []dispatch.Action {
		delete(c.attempts, started.send.Attempt)
		running.release()
		if started.linger != nil {
			started.linger.Stop()
		}
		return c.report(now, started, running, response, err)
	})
	c.noteDraining(started.send.Leaf, response)
}

// execute sends one attempt, unless package presend forbids it.
func (c *Conn[Q, P]) execute(ctx context.Context, send dispatch.Send, running *query[Q, P]) (*Response[P], error) {
	state := presend.State{Guard: c.config.Guard()} // first: it may bring in a newer topology
	state.Usable = c.MayGetWork(send.Leaf)
	state.Remaining = running.deadline - c.config.Clock.Now()
	switch presend.Decide(state) {
	case presend.NotFresh:
		return nil, notSent(stepGuard, send.Leaf, state.Guard)
	case presend.NotUsable:
		return nil, notSent(stepTopology, send.Leaf, errNotUsable)
	case presend.Expired:
		return nil, notSent(stepDeadline, send.Leaf, context.DeadlineExceeded)
	}
	return c.config.Leaves.Execute(ctx, Attempt[Q]{
		Send:       send,
		ID:         c.config.AttemptPrefix + "/" + strconv.FormatUint(uint64(send.Attempt), 10),
		RequestID:  running.request.RequestID,
		Service:    c.config.Service,
		Repeatable: running.request.Class.Repeatable,
		Remaining:  state.Remaining,
		Payload:    running.request.Payload,
	})
}

// notSent returns the error of an attempt of which no byte left.
func notSent(step leaf.Step, peer netip.AddrPort, err error) error {
	return &leaf.TransportError{Step: step, Peer: peer, Sent: false, Err: err}
}
