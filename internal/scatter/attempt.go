package scatter

import (
	"context"
	"errors"
	"net/netip"
	"strconv"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
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

// execute sends one attempt, unless the guard or the deadline forbids it. The
// checks come directly before the send: the process may have been frozen since
// the decision was made.
func (c *Conn[Q, P]) execute(ctx context.Context, send dispatch.Send, running *query[Q, P]) (*Response[P], error) {
	if err := c.config.Guard(); err != nil {
		return nil, notSent(stepGuard, send.Leaf, err)
	}
	if !c.MayGetWork(send.Leaf) {
		return nil, notSent(stepTopology, send.Leaf, errNotUsable)
	}
	remaining := running.deadline - c.config.Clock.Now()
	if remaining <= 0 {
		return nil, notSent(stepDeadline, send.Leaf, context.DeadlineExceeded)
	}
	return c.config.Leaves.Execute(ctx, Attempt[Q]{
		Send:       send,
		ID:         c.config.AttemptPrefix + "/" + strconv.FormatUint(uint64(send.Attempt), 10),
		RequestID:  running.request.RequestID,
		Service:    c.config.Service,
		Repeatable: running.request.Class.Repeatable,
		Remaining:  remaining,
		Payload:    running.request.Payload,
	})
}

func notSent(step leaf.Step, peer netip.AddrPort, err error) error {
	return &leaf.TransportError{Step: step, Peer: peer, Sent: false, Err: err}
}

// report passes the end of an attempt to the Dispatcher.
func (c *Conn[Q, P]) report(now dispatch.Time, started *attempt, running *query[Q, P], response *Response[P], err error) []dispatch.Action {
	id := started.send.Attempt
	if _, active := c.queries[started.send.Query]; active && c.config.Trace {
		entry := &running.trace[started.trace]
		entry.End, entry.Detail = endOf(response, err)
		entry.Took = now - running.begun - entry.At
		entry.Aborted = started.aborted
		entry.Closed = err != nil && closedByLeaf(err)
	}
	if err != nil {
		failure := dispatch.Failure{
			Sent: mayHaveBeenSent(err), Aborted: started.aborted, OnTheWay: lostOnTheWay(err), Closed: closedByLeaf(err),
		}
		c.config.Metrics.countFailure(failure)
		return c.dispatcher.Fail(now, id, failure)
	}
	if !response.Executed {
		c.config.Metrics.countRefusal(response.Refusal)
		if response.Refusal == leaf.RefusedInvalid {
			running.detail = response.Detail
		}
		return c.dispatcher.Refuse(now, id, dispatch.Refusal{
			Reason:     response.Refusal,
			RetryAfter: response.RetryAfter,
			BootID:     response.BootID,
			Load:       response.Load,
		})
	}
	if response.Failed {
		running.failure = &response.Part
		failure := dispatch.Failure{Sent: true, Aborted: started.aborted}
		c.config.Metrics.countFailure(failure)
		return c.dispatcher.Fail(now, id, failure)
	}
	if _, active := c.queries[started.send.Query]; active {
		running.parts[id] = response.Part
	}
	return c.dispatcher.Reply(now, id, dispatch.Reply{
		Shard:    response.Shard,
		Snapshot: response.Snapshot,
		BootID:   response.BootID,
		Load:     response.Load,
	})
}

// endOf says how an attempt ended, and why.
func endOf[P any](response *Response[P], err error) (AttemptEnd, string) {
	switch {
	case err != nil && mayHaveBeenSent(err):
		return EndLost, err.Error()
	case err != nil:
		return EndUnsent, err.Error()
	case !response.Executed:
		return EndRefused, string(response.Refusal)
	case response.Failed:
		return EndFailed, ""
	default:
		return EndAnswered, ""
	}
}

// mayHaveBeenSent reports whether the leaf may have run the attempt. Only a
// transport error that proves the opposite counts as not sent.
func mayHaveBeenSent(err error) bool {
	var transport *leaf.TransportError
	if errors.As(err, &transport) {
		return transport.Sent
	}
	return true
}

// lostOnTheWay reports whether the attempt was lost with another node.
func lostOnTheWay(err error) bool {
	var transport *leaf.TransportError
	return errors.As(err, &transport) && transport.OnTheWay
}

// closedByLeaf reports whether the leaf's end of the connection was closed before a
// byte of the answer.
func closedByLeaf(err error) bool {
	var transport *leaf.TransportError
	return errors.As(err, &transport) && transport.Closed
}

func (c *Conn[Q, P]) noteDraining(address netip.AddrPort, response *Response[P]) {
	if response == nil || c.config.OnDraining == nil {
		return
	}
	if response.Refusal == leaf.RefusedDraining || response.Load.State == leaf.StateDraining {
		c.config.OnDraining(address, response.BootID)
	}
}
