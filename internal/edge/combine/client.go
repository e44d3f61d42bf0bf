package combine

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/combiners"
	"github.com/micaplank/micaplank/internal/decide/leafanswer"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/scatter"
)

// stepCombiner is the step of an attempt that was lost together with its combiner.
const stepCombiner leaf.Step = "combiner"

// errHeartbeatTimeout is the cause of cancelling a call to a combiner that stopped responding.
var errHeartbeatTimeout = errors.New("combiner missed its heartbeats")

// Client sends attempts to leaves, through a combiner where one helps. It implements
// scatter.LeafClient and is safe for concurrent use.
type Client struct {
	config  combiners.Config
	self    roster.Member
	direct  Leaves
	caller  Caller
	clock   clock.Clock
	logger  *slog.Logger
	metrics *metrics

	mutex       sync.Mutex
	combiners   *combiners.Table
	lastSession uint64
	sessions    map[sessionKey]*clientSession
}

var _ Leaves = (*Client)(nil)

// sessionKey identifies the session of a query with a combiner of a zone.
type sessionKey struct {
	query *forward.Request
	zone  string
}

// clientSession is a session that has attempts in flight.
type clientSession struct {
	number   uint64
	combiner *combiners.Combiner
	inFlight int
}

// New returns a Client without combiners, which sends all attempts directly.
func New(config combiners.Config, self roster.Member, direct Leaves, caller Caller, clk clock.Clock, registerer prometheus.Registerer, logger *slog.Logger) *Client {
	return &Client{
		config: config, self: self, direct: direct, caller: caller, clock: clk, logger: logger,
		metrics: newMetrics(registerer), combiners: combiners.NewTable(config), sessions: make(map[sessionKey]*clientSession),
	}
}

// SetMembers sets the nodes that may be combiners.
func (c *Client) SetMembers(members []roster.Member) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.combiners.Replace(c.self, members)
}

// Execute implements scatter.LeafClient.
func (c *Client) Execute(ctx context.Context, attempt scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
	if attempt.Payload.TopK == 0 || attempt.Zone == c.self.Zone {
		return c.direct.Execute(ctx, attempt)
	}
	key := sessionKey{attempt.Payload, attempt.Zone}
	session, alive, opened := c.join(key)
	if session == nil {
		c.metrics.attempts.WithLabelValues("direct").Inc()
		return c.direct.Execute(ctx, attempt)
	}
	response, done, err := c.fetch(ctx, alive, session, opened, attempt)
	c.leave(key, session, err, ctx.Err() != nil)
	if !done {
		c.metrics.attempts.WithLabelValues("not_taken").Inc()
		return c.direct.Execute(ctx, attempt)
	}
	return response, err
}

// join adds an attempt to the session of its query and opens the session if there is none; opened
// reports whether it did. The context alive ends when the combiner is lost. The session is nil if
// the zone has no usable combiner.
func (c *Client) join(key sessionKey) (joined *clientSession, alive context.Context, opened bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	session, open := c.sessions[key]
	if !open {
		chosen := c.combiners.Choose(key.zone)
		if chosen == nil {
			return nil, nil, false
		}
		c.lastSession++
		session = &clientSession{number: c.lastSession, combiner: chosen}
		c.sessions[key] = session
	}
	alive = session.combiner.Alive()
	if alive == nil {
		return nil, nil, false
	}
	session.inFlight++
	session.combiner.InFlight++
	return session, alive, !open
}

// leave removes an attempt from its session. The flag givenUp is set if the caller's context has
// ended; err then says nothing about the combiner.
func (c *Client) leave(key sessionKey, session *clientSession, err error, givenUp bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	session.inFlight--
	session.combiner.InFlight--
	if session.inFlight == 0 && c.sessions[key] == session {
		delete(c.sessions, key)
	}
	switch {
	case givenUp:
	case peer.NotExecuted(err):
		c.avoid(session.combiner) // the combiner is most likely stopping
	case errors.Is(err, peer.ErrConnectionLost):
		c.markLost(session.combiner) // the process of the combiner has most likely ended
	case err == nil:
		session.combiner.RecordMessage(c.clock.Now())
	}
}

// markLost marks a combiner as lost. The caller holds the mutex.
func (c *Client) markLost(combiner *combiners.Combiner) {
	if combiner.MarkLost() {
		event.Log(c.logger, event.CombinerLost{Peer: combiner.Name, InFlight: combiner.InFlight})
	}
}

// avoid stops giving attempts to a combiner for now. The caller holds the mutex.
func (c *Client) avoid(combiner *combiners.Combiner) {
	if combiner.MarkUnused() {
		event.Log(c.logger, event.CombinerLost{Peer: combiner.Name})
	}
}

// fetch sends one attempt to a combiner. It returns done as false if the combiner provably did not
// send the attempt to the leaf.
func (c *Client) fetch(ctx, alive context.Context, session *clientSession, opened bool, attempt scatter.Attempt[*forward.Request]) (response *scatter.Response[forward.Part], done bool, err error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(alive, func() { cancel(errHeartbeatTimeout) })
	defer stop()
	request := fetchRequest{Remaining: attempt.Remaining, Session: session.number, Address: attempt.Leaf, Instance: attempt.BootID}
	if opened {
		request.Query = newQueryHead(attempt.Payload, attempt.Remaining)
	}
	var fetched fetchResponse
	err = c.caller.Call(callCtx, session.combiner.Peer, methodFetch, &request, &fetched)
	switch {
	case peer.NotExecuted(err):
		return nil, false, err
	case err != nil && ctx.Err() != nil:
		c.metrics.attempts.WithLabelValues("given_up").Inc()
		return nil, true, &leaf.TransportError{Step: stepCombiner, Peer: attempt.Leaf, Sent: true, Err: err}
	case err != nil:
		c.metrics.attempts.WithLabelValues("lost").Inc()
		return nil, true, &leaf.TransportError{Step: stepCombiner, Peer: session.combiner.Peer, Sent: true, LostAtRelay: true, Err: err}
	case fetched.NotTaken:
		return nil, false, nil
	}
	c.metrics.attempts.WithLabelValues("combined").Inc()
	if failure := fetched.Failure; failure != nil {
		return nil, true, &leaf.TransportError{
			Step: failure.Step, Peer: attempt.Leaf, Sent: failure.Sent, Closed: failure.Closed, Refused: failure.Refused, Err: errors.New(failure.Text),
		}
	}
	response = fetched.toResponse(attempt)
	if len(fetched.Dropped) > 0 {
		response.Part.FetchDropped = c.fetchDroppedFunc(session, fetched.Number)
	}
	return response, true, nil
}

// errSessionExpired means that a combiner no longer holds the dropped records of a part.
var errSessionExpired = errors.New("combiner no longer holds the dropped records of the part")

// fetchDroppedFunc returns the function that fetches the records dropped from a part.
func (c *Client) fetchDroppedFunc(session *clientSession, number int) func(context.Context, []byte) ([]byte, error) {
	return func(ctx context.Context, floor []byte) ([]byte, error) {
		var response restResponse
		err := c.caller.Call(ctx, session.combiner.Peer, methodRest, &restRequest{Session: session.number, Number: number, Floor: floor}, &response)
		c.metrics.droppedFetches.Inc()
		if err == nil && !response.Known {
			err = errSessionExpired
		}
		return response.Records, err
	}
}

// toResponse translates the response of a combiner. Combiners of earlier versions do not report each
// unusable answer as failed, so the rule is applied here, too.
func (r *fetchResponse) toResponse(attempt scatter.Attempt[*forward.Request]) *scatter.Response[forward.Part] {
	use := leafanswer.Answer{Status: r.Status, Signed: r.Signature != "", Merged: true}.Use()
	return &scatter.Response[forward.Part]{
		Executed: r.Executed,
		Failed:   r.Executed && (r.Failed || use != leafanswer.UseAsAnswer),
		Rejected: r.Executed && use == leafanswer.UseAsRejection,
		Refusal:  r.Refusal, RetryAfter: r.RetryAfter, Load: r.Load,
		Shard: attempt.Shard, Snapshot: attempt.Snapshot,
		Part: forward.Part{Status: r.Status, Signature: r.Signature, Body: r.Body, Dropped: r.Dropped},
	}
}

// Run sends heartbeats to the combiners until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(c.config.HeartbeatInterval / 2)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		for _, combiner := range c.dueHeartbeats() {
			group.Go(func() { c.sendHeartbeat(ctx, combiner) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// dueHeartbeats returns the combiners whose heartbeat is due, and marks those as lost that have not
// responded.
func (c *Client) dueHeartbeats() []*combiners.Combiner {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	due, lost := c.combiners.DueHeartbeats(c.clock.Now())
	for _, combiner := range lost {
		event.Log(c.logger, event.CombinerLost{Peer: combiner.Name, InFlight: combiner.InFlight})
	}
	return due
}

// sendHeartbeat sends a heartbeat to one combiner. A missing response is noticed by dueHeartbeats.
func (c *Client) sendHeartbeat(ctx context.Context, combiner *combiners.Combiner) {
	ctx, cancel := context.WithTimeout(ctx, c.config.HeartbeatTimeout)
	defer cancel()
	started := c.clock.Now()
	var response pingResponse
	err := c.caller.Call(ctx, combiner.Peer, methodPing, &pingRequest{From: c.self.Name}, &response)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	combiner.EndHeartbeat()
	if err != nil {
		return
	}
	now := c.clock.Now()
	if combiner.RecordAnswer(now, now-started) {
		event.Log(c.logger, event.CombinerInTouch{Peer: combiner.Name, Zone: combiner.Zone})
	}
}
