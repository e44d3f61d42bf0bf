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

// The steps that can fail an attempt before it reaches the leaf client.
const (
	stepGuard    leaf.Step = "scatter_guard"
	stepTopology leaf.Step = "scatter_topology"
	stepDeadline leaf.Step = "scatter_deadline"
)

// errNotUsable is the error of an attempt whose leaf became unusable between the decision to send
// and the send.
var errNotUsable = errors.New("leaf no longer accepts new work")

// runningAttempt is an attempt that has not reported its end.
type runningAttempt struct {
	send   dispatch.Send
	cancel context.CancelFunc
	// aborted is set before cancel is called. QueryRunner.mutex guards it.
	aborted bool
	// traceIndex is the index of the attempt in the trace of its query.
	traceIndex int
	// lingerTimer cancels an aborted attempt after Config.Linger; nil if none is set.
	lingerTimer *time.Timer
}

// startAttempt runs an attempt in a new goroutine.
func (c *QueryRunner[Q, P]) startAttempt(send dispatch.Send) {
	query := c.queries[send.Query]
	ctx, cancel := context.WithCancel(query.ctx)
	query.references++
	attempt := &runningAttempt{send: send, cancel: cancel, traceIndex: len(query.trace)}
	if query.traced {
		query.trace = append(query.trace, AttemptTrace{Send: send, SentAfter: c.config.Clock.Now() - query.submittedAt, End: EndOpen})
	}
	c.attempts[send.Attempt] = attempt
	c.goroutines.Add(1)
	go c.runAttempt(ctx, attempt, query)
}

// abortAttempt cancels an attempt, immediately or after the delay that linger.Duration returns.
func (c *QueryRunner[Q, P]) abortAttempt(abort dispatch.Abort) {
	attempt := c.attempts[abort.Attempt]
	if attempt == nil {
		return
	}
	attempt.aborted = true
	wait := linger.Duration(c.config.Linger, abort.Overdue)
	if wait == 0 {
		attempt.cancel()
		return
	}
	attempt.lingerTimer = time.AfterFunc(wait, attempt.cancel)
}

// runAttempt executes one attempt and reports its end to the dispatcher exactly once.
func (c *QueryRunner[Q, P]) runAttempt(ctx context.Context, attempt *runningAttempt, query *runningQuery[Q, P]) {
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

// executeAttempt sends an attempt to its leaf if presend.Decide allows it.
func (c *QueryRunner[Q, P]) executeAttempt(ctx context.Context, send dispatch.Send, query *runningQuery[Q, P]) (*Response[P], error) {
	// Guard may install a newer topology, so it is called before the topology is read.
	state := presend.State{GuardErr: c.config.Guard()}
	state.LeafUsable = c.IsUsable(send.Leaf)
	state.Remaining = query.deadline - c.config.Clock.Now()
	switch presend.Decide(state) {
	case presend.NodeNotFresh:
		return nil, unsentError(stepGuard, send.Leaf, state.GuardErr)
	case presend.LeafNotUsable:
		return nil, unsentError(stepTopology, send.Leaf, errNotUsable)
	case presend.DeadlinePassed:
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

// unsentError returns the error of an attempt that failed before any byte was sent.
func unsentError(step leaf.Step, peer netip.AddrPort, err error) error {
	return &leaf.TransportError{Step: step, Peer: peer, Sent: false, Err: err}
}
