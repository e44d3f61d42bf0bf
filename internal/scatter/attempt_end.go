package scatter

import (
	"errors"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// report passes the end of an attempt to the Dispatcher.
func (c *Conn[Q, P]) reportEnd(now dispatch.Time, attempt *runningAttempt, query *runningQuery[Q, P], response *Response[P], err error) []dispatch.Action {
	_, active := c.queries[attempt.send.Query]
	if active && c.config.Trace {
		completeTrace(&query.trace[attempt.traceIndex], now-query.submittedAt, attempt.aborted, response, err)
		if query.trace[attempt.traceIndex].Closed && c.config.OnClosed != nil {
			c.config.OnClosed(Unfinished[Q]{
				RequestID: query.request.RequestID, Payload: query.request.Payload, Began: query.submittedAt, Attempts: query.trace,
			})
		}
	}
	id := attempt.send.Attempt
	switch {
	case err != nil:
		failure := classifyFailure(err)
		failure.Aborted = attempt.aborted
		return c.reportFailure(now, id, failure)
	case !response.Executed:
		return c.reportRefusal(now, id, query, response)
	case response.Failed:
		query.failure = &response.Part
		return c.reportFailure(now, id, dispatch.Failure{Sent: true, Aborted: attempt.aborted})
	}
	if active {
		query.parts[id] = response.Part
	}
	return c.dispatcher.Reply(now, id, dispatch.Reply{
		Shard:    response.Shard,
		Snapshot: response.Snapshot,
		BootID:   response.BootID,
		Load:     response.Load,
	})
}

func (c *Conn[Q, P]) reportFailure(now dispatch.Time, id dispatch.AttemptID, failure dispatch.Failure) []dispatch.Action {
	c.config.Metrics.countFailure(failure)
	return c.dispatcher.Fail(now, id, failure)
}

func (c *Conn[Q, P]) reportRefusal(now dispatch.Time, id dispatch.AttemptID, query *runningQuery[Q, P], response *Response[P]) []dispatch.Action {
	c.config.Metrics.countRefusal(response.Refusal)
	if response.Refusal == leaf.RefusedInvalid {
		query.detail = response.Detail
	}
	return c.dispatcher.Refuse(now, id, dispatch.Refusal{
		Reason:     response.Refusal,
		RetryAfter: response.RetryAfter,
		BootID:     response.BootID,
		Load:       response.Load,
	})
}

// traceEnd completes the trace of an attempt that ended at a time since its query was
// submitted.
func completeTrace[P any](entry *AttemptTrace, at time.Duration, aborted bool, response *Response[P], err error) {
	entry.End, entry.Detail = classifyEnd(response, err)
	entry.Took = at - entry.At
	entry.Aborted = aborted
	entry.Closed = err != nil && classifyFailure(err).Closed
}

// endOf says how an attempt ended, and why.
func classifyEnd[P any](response *Response[P], err error) (AttemptEnd, string) {
	switch {
	case err != nil && classifyFailure(err).Sent:
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

// failureOf says what an error proves of an attempt. Only a transport error that proves
// that no byte was sent counts as not sent: after any other one the leaf may have run it.
func classifyFailure(err error) dispatch.Failure {
	var transport *leaf.TransportError
	if !errors.As(err, &transport) {
		return dispatch.Failure{Sent: true}
	}
	return dispatch.Failure{Sent: transport.Sent, OnTheWay: transport.OnTheWay, Closed: transport.Closed, Refused: transport.Refused}
}

// noteDraining reports a leaf whose answer says that it takes no new work.
func (c *Conn[Q, P]) reportDraining(address netip.AddrPort, response *Response[P]) {
	if response == nil || c.config.OnDraining == nil {
		return
	}
	if response.Refusal == leaf.RefusedDraining || response.Load.State == leaf.StateDraining {
		c.config.OnDraining(address, response.BootID)
	}
}
