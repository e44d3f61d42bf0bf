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
type runningAttempt struct {
	send   dispatch.Send
	cancel context.CancelFunc
	// aborted is set before cancel is called, under the Conn's mutex.
	aborted bool
	// trace is its place in the trace of its query.
	traceIndex int
	// linger cancels an aborted attempt later; nil without one.
	lingerTimer *time.Timer
}

// start sends an attempt in the background.
func (c *Conn[Q, P]) startAttempt(send dispatch.Send) {
	query := c.queries[send.Query]
	ctx, cancel := context.WithCancel(query.ctx)
	query.references++
	attempt := &runningAttempt{send: send, cancel: cancel, traceIndex: len(query.trace)}
	if c.config.Trace {
		query.trace = append(query.trace, AttemptTrace{Send: send, At: c.config.Clock.Now() - query.submittedAt, End: EndOpen})
	}
	c.attempts[send.Attempt] = attempt
	c.goroutines.Add(1)
	go c.runAttempt(ctx, attempt, query)
}

// abort gives up an attempt, at once or after a while (package linger).
func (c *Conn[Q, P]) abortAttempt(given dispatch.Abort) {
	attempt := c.attempts[given.Attempt]
	if attempt == nil {
		return
	}
	attempt.aborted = true
	wait := linger.Time(c.config.Linger, given.Overdue)
	if wait == 0 {
		attempt.cancel()
		return
	}
	attempt.lingerTimer = time.AfterFunc(wait, attempt.cancel)
}

// run performs one attempt and reports its end, exactly once.
func (c *Conn[Q, P]) runAttempt(ctx context.Context, attempt *runningAttempt, query *runningQuery[Q, P]) {
	defer c.goroutines.Done()
	defer attempt.cancel()
	response, err := c.executeAttempt(ctx, attempt.send, query)
	c.applyDecision(func(now dispatch.Time) []dispatch.Action {
		delete(c.attempts, attempt.send.Attempt)
		query.release()
		if attempt.lingerTimer != nil {
			attempt.lingerTimer.Stop()
		}
		return c.reportEnd(now, attempt, query, response, err)
	})
	c.reportDraining(attempt.send.Leaf, response)
}

// execute sends one attempt, unless package presend forbids it.
func (c *Conn[Q, P]) executeAttempt(ctx context.Context, send dispatch.Send, query *runningQuery[Q, P]) (*Response[P], error) {
	state := presend.State{Guard: c.config.Guard()} // first: it may bring in a newer topology
	state.Usable = c.MayGetWork(send.Leaf)
	state.Remaining = query.deadline - c.config.Clock.Now()
	switch presend.Decide(state) {
	case presend.NotFresh:
		return nil, unsentError(stepGuard, send.Leaf, state.Guard)
	case presend.NotUsable:
		return nil, unsentError(stepTopology, send.Leaf, errNotUsable)
	case presend.Expired:
		return nil, unsentError(stepDeadline, send.Leaf, context.DeadlineExceeded)
	}
	return c.config.Leaves.Execute(ctx, Attempt[Q]{
		Send:       send,
		ID:         c.config.AttemptPrefix + "/" + strconv.FormatUint(uint64(send.Attempt), 10),
		RequestID:  query.request.RequestID,
		Service:    c.config.Service,
		Repeatable: query.request.Class.Repeatable,
		Remaining:  state.Remaining,
		Payload:    query.request.Payload,
	})
}

// notSent returns the error of an attempt of which no byte left.
func unsentError(step leaf.Step, peer netip.AddrPort, err error) error {
	return &leaf.TransportError{Step: step, Peer: peer, Sent: false, Err: err}
}
