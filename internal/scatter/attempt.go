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

// The errors of an attempt that must not be sent any more, since something has changed between the
// decision to send and the send.
var (
	errNotUsable = errors.New("leaf no longer accepts new work")
	errNotWanted = errors.New("nobody waits for the answer")
	errTooLate   = errors.New("too little time is left")
)

// runningAttempt is an attempt that has not reported its end.
type runningAttempt struct {
	send   dispatch.Send
	cancel context.CancelFunc
	// aborted is set before cancel is called. QueryRunner.mutex guards it.
	aborted bool
	// traceIndex is the index of the attempt in the trace of its query.
	traceIndex int
	startedAt  dispatch.Time
	// lastSend is the time from which on the attempt must not be sent, as known when it was started.
	lastSend dispatch.Time
	// withdrawn is closed when the attempt must not be sent any more; see withdraw.
	withdrawn chan struct{}
	// sentAt is the time of the last call of checkSend. QueryRunner.mutex guards it.
	sentAt dispatch.Time
	// lingerTimer cancels an aborted attempt after Config.Linger; nil if none is set.
	lingerTimer *time.Timer
}

// startAttempt runs an attempt in a new goroutine.
func (c *QueryRunner[Q, P]) startAttempt(send dispatch.Send) {
	query := c.queries[send.Query]
	ctx, cancel := context.WithCancel(query.ctx)
	query.references++
	now := c.config.Clock.Now()
	limits, _ := c.dispatcher.SendLimits(send.Query)
	attempt := &runningAttempt{
		send: send, cancel: cancel, traceIndex: len(query.trace),
		startedAt: now, lastSend: limits.LastSend, withdrawn: make(chan struct{}), sentAt: now,
	}
	if query.traced {
		query.trace = append(query.trace, AttemptTrace{Send: send, SentAfter: now - query.submittedAt, End: EndOpen})
	}
	c.attempts[send.Attempt] = attempt
	c.goroutines.Add(1)
	go c.runAttempt(ctx, attempt, query)
}

// withdraw keeps the attempt from being sent if it has not been sent yet. The dispatcher then decides
// again. The caller holds QueryRunner.mutex.
func (a *runningAttempt) withdraw() {
	select {
	case <-a.withdrawn:
	default:
		close(a.withdrawn)
	}
}

// withdrawUnusable withdraws the attempts whose leaf accepts no new work.
func (c *QueryRunner[Q, P]) withdrawUnusable() {
	for _, attempt := range c.attempts {
		if !c.usable[attempt.send.Leaf] {
			attempt.withdraw()
		}
	}
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
	response, err := c.executeAttempt(ctx, attempt, query)
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

// executeAttempt sends an attempt to its leaf if checkSend allows it.
func (c *QueryRunner[Q, P]) executeAttempt(ctx context.Context, attempt *runningAttempt, query *runningQuery[Q, P]) (*Response[P], error) {
	remaining, err := c.checkSend(attempt)
	if err != nil {
		return nil, err
	}
	send := attempt.send
	return c.config.Leaves.Execute(ctx, Attempt[Q]{
		Send:       send,
		ID:         c.config.AttemptPrefix + "/" + strconv.FormatUint(uint64(send.Attempt), 10),
		RequestID:  query.request.RequestID,
		Service:    c.config.Service,
		Repeatable: query.request.Class.Repeatable,
		Remaining:  remaining,
		SendWithin: attempt.lastSend - attempt.startedAt,
		Withdrawn:  attempt.withdrawn,
		CheckSend:  func() (time.Duration, error) { return c.checkSend(attempt) },
		Payload:    query.request.Payload,
	})
}

// checkSend returns the time until the deadline of the query if presend.Decide allows the attempt to
// be sent now, and otherwise an error.
func (c *QueryRunner[Q, P]) checkSend(attempt *runningAttempt) (time.Duration, error) {
	// Guard may install a newer topology, so it is called before the topology is read.
	state := presend.State{GuardErr: c.config.Guard()}
	target := attempt.send.Leaf
	c.mutex.Lock()
	now := c.config.Clock.Now()
	limits, running := c.dispatcher.SendLimits(attempt.send.Query)
	state.LeafUsable = c.usable[target]
	state.Unwanted = attempt.aborted || !running
	attempt.sentAt = now
	c.mutex.Unlock()
	state.UntilLastSend = limits.LastSend - now
	switch presend.Decide(state) {
	case presend.NodeNotFresh:
		return 0, unsentError(stepGuard, target, state.GuardErr)
	case presend.LeafNotUsable:
		return 0, withdrawnError(stepTopology, target, errNotUsable)
	case presend.NotWanted:
		return 0, withdrawnError(stepDeadline, target, errNotWanted)
	case presend.TooLate:
		return 0, withdrawnError(stepDeadline, target, errTooLate)
	}
	return limits.Deadline - now, nil
}

// withdrawnError returns the error of an attempt that must not be sent any more.
func withdrawnError(step leaf.Step, peer netip.AddrPort, err error) error {
	return &leaf.TransportError{Step: step, Peer: peer, Sent: false, Withdrawn: true, Err: err}
}

// unsentError returns the error of an attempt that failed before any byte was sent.
func unsentError(step leaf.Step, peer netip.AddrPort, err error) error {
	return &leaf.TransportError{Step: step, Peer: peer, Sent: false, Err: err}
}
