package scatter

import (
	"errors"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// reportEnd records the end of an attempt and passes it to the dispatcher.
func (c *QueryRunner[Q, P]) reportEnd(now dispatch.Time, attempt *runningAttempt, query *runningQuery[Q, P], response *Response[P], err error) []dispatch.Action {
	_, active := c.queries[attempt.send.Query]
	if active && query.traced {
		completeTrace(&query.trace[attempt.traceIndex], now-query.submittedAt, attempt.aborted, response, err)
		if query.trace[attempt.traceIndex].Closed && c.config.OnConnectionClosed != nil {
			c.config.OnConnectionClosed(QueryProgress[Q]{
				RequestID: query.request.RequestID, Payload: query.request.Payload, SubmittedAt: query.submittedAt, Attempts: query.trace,
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
		if !response.Unusable {
			query.failure = &response.Part
		}
		return c.reportFailure(now, id, dispatch.Failure{Sent: true, Aborted: attempt.aborted, Rejected: response.Rejected})
	}
	if active {
		query.parts[id] = response.Part
	}
	return c.dispatcher.Reply(now, id, dispatch.Reply{
		Shard:    response.Shard,
		Snapshot: response.Snapshot,
		BootID:   response.BootID,
		Load:     response.Load,
		Waited:   attempt.sentAt - attempt.startedAt,
	})
}

func (c *QueryRunner[Q, P]) reportFailure(now dispatch.Time, id dispatch.AttemptID, failure dispatch.Failure) []dispatch.Action {
	c.config.Metrics.countFailure(failure)
	return c.dispatcher.Fail(now, id, failure)
}

func (c *QueryRunner[Q, P]) reportRefusal(now dispatch.Time, id dispatch.AttemptID, query *runningQuery[Q, P], response *Response[P]) []dispatch.Action {
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

// completeTrace fills in the end of an attempt's trace. endedAt is the time since the submission of
// the query.
func completeTrace[P any](entry *AttemptTrace, endedAt time.Duration, aborted bool, response *Response[P], err error) {
	entry.End, entry.Detail = classifyEnd(response, err)
	entry.Duration = endedAt - entry.SentAfter
	entry.Aborted = aborted
	entry.Closed = err != nil && classifyFailure(err).ConnectionClosed
	entry.Connection = connectionOf(response, err)
}

// connectionOf returns the connection on which an attempt ran, as far as its end tells.
func connectionOf[P any](response *Response[P], err error) leaf.ConnectionUse {
	if err == nil {
		return response.Connection
	}
	var transport *leaf.TransportError
	if errors.As(err, &transport) {
		return transport.Connection
	}
	return leaf.ConnectionUse{}
}

// classifyEnd returns how an attempt ended, and the error text or the reason of the refusal.
func classifyEnd[P any](response *Response[P], err error) (AttemptEnd, string) {
	switch {
	case err != nil && classifyFailure(err).Sent:
		return EndLost, err.Error()
	case err != nil:
		return EndUnsent, err.Error()
	case !response.Executed:
		return EndRefused, string(response.Refusal)
	case response.Unusable:
		return EndFailed, "unusable success"
	case response.Failed:
		return EndFailed, ""
	default:
		return EndAnswered, ""
	}
}

// classifyFailure converts the error of an attempt to a dispatch.Failure. The attempt counts as not
// sent only if a *leaf.TransportError proves it; after any other error the leaf may have run it.
func classifyFailure(err error) dispatch.Failure {
	var transport *leaf.TransportError
	if !errors.As(err, &transport) {
		return dispatch.Failure{Sent: true}
	}
	return dispatch.Failure{Sent: transport.Sent, LostAtRelay: transport.LostAtRelay, Withdrawn: transport.Withdrawn, ConnectionClosed: transport.Closed, ConnectionRefused: transport.Refused}
}

// reportDraining calls Config.OnDraining if the response shows that the leaf is draining.
func (c *QueryRunner[Q, P]) reportDraining(address netip.AddrPort, response *Response[P]) {
	if response == nil || c.config.OnDraining == nil {
		return
	}
	if response.Refusal == leaf.RefusedDraining || response.Load.State == leaf.StateDraining {
		c.config.OnDraining(address, response.BootID)
	}
}
