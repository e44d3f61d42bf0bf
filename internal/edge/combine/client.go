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
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/scatter"
)

// stepCombiner is where an attempt is lost that a combiner had in hand.
const stepCombiner leaf.Step = "combiner"

// errSilent is why a call to a combiner is given up that does not answer any more.
var errHeartbeatTimeout = errors.New("combiner is silent")

// Client sends attempts to leaves, by way of a combiner where one helps. It
// implements scatter.LeafClient and is safe for concurrent use.
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

// sessionKey names the session of a query with a combiner of a zone.
type sessionKey struct {
	query *forward.Request
	zone  string
}

// clientSession is a session while it has attempts in flight.
type clientSession struct {
	number   uint64
	combiner *combiners.Combiner
	inFlight int
}

// New returns a Client that knows no combiner yet: it sends all attempts
// directly.
func New(config combiners.Config, self roster.Member, direct Leaves, caller Caller, clk clock.Clock, registerer prometheus.Registerer, logger *slog.Logger) *Client {
	return &Client{
		config: config, self: self, direct: direct, caller: caller, clock: clk, logger: logger,
		metrics: newMetrics(registerer), combiners: combiners.NewTable(config), sessions: make(map[sessionKey]*clientSession),
	}
}

// SetMembers takes in the nodes that may be combiners.
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

// join adds an attempt to the session of its query, which it opens if there is none.
// First says that it did. The session is nil if no combiner of the zone is usable.
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

// leave takes an attempt out of its session, which was given up here or has ended there.
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
		c.avoid(session.combiner) // it is stopping, most likely
	case errors.Is(err, peer.ErrLost):
		c.markLost(session.combiner) // its process has ended, most likely
	case err == nil:
		session.combiner.Heard(c.clock.Now())
	}
}

// lost takes a combiner to be lost. The caller holds the mutex.
func (c *Client) markLost(combiner *combiners.Combiner) {
	if combiner.Lose() {
		event.Log(c.logger, event.CombinerLost{Peer: combiner.Name, InFlight: combiner.InFlight})
	}
}

// avoid gives a combiner no more attempts for now. The caller holds the mutex.
func (c *Client) avoid(combiner *combiners.Combiner) {
	if combiner.Avoid() {
		event.Log(c.logger, event.CombinerLost{Peer: combiner.Name})
	}
}

// fetch hands one attempt to a combiner. It returns false if the combiner did
// nothing with it.
func (c *Client) fetch(ctx, alive context.Context, session *clientSession, opened bool, attempt scatter.Attempt[*forward.Request]) (response *scatter.Response[forward.Part], done bool, err error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(alive, func() { cancel(errHeartbeatTimeout) })
	defer stop()
	request := fetchRequest{Remaining: attempt.Remaining, Session: session.number, Address: attempt.Leaf, Instance: attempt.BootID}
	if opened {
		request.Query = newQueryHead(attempt.Payload, attempt.Remaining)
	}
	var answer fetchResponse
	err = c.caller.Call(callCtx, session.combiner.Peer, methodFetch, &request, &answer)
	switch {
	case peer.NotExecuted(err):
		return nil, false, err
	case err != nil && ctx.Err() != nil:
		c.metrics.attempts.WithLabelValues("given_up").Inc()
		return nil, true, &leaf.TransportError{Step: stepCombiner, Peer: attempt.Leaf, Sent: true, Err: err}
	case err != nil:
		c.metrics.attempts.WithLabelValues("lost").Inc()
		return nil, true, &leaf.TransportError{Step: stepCombiner, Peer: session.combiner.Peer, Sent: true, OnTheWay: true, Err: err}
	case answer.NotTaken:
		return nil, false, nil
	}
	c.metrics.attempts.WithLabelValues("combined").Inc()
	if failure := answer.Failure; failure != nil {
		return nil, true, &leaf.TransportError{
			Step: failure.Step, Peer: attempt.Leaf, Sent: failure.Sent, Closed: failure.Closed, Refused: failure.Refused, Err: errors.New(failure.Text),
		}
	}
	response = answer.toResponse(attempt)
	if len(answer.Dropped) > 0 {
		response.Part.FetchDropped = c.fetchDroppedFunc(session, answer.Number)
	}
	return response, true, nil
}

// errForgotten says that a combiner does not hold the rest of a part any more.
var errSessionExpired = errors.New("combiner has forgotten the part")

// restOf returns the function that fetches what was left out of a part.
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

func (r *fetchResponse) toResponse(attempt scatter.Attempt[*forward.Request]) *scatter.Response[forward.Part] {
	return &scatter.Response[forward.Part]{
		Executed: r.Executed, Failed: r.Failed, Refusal: r.Refusal, RetryAfter: r.RetryAfter, Load: r.Load,
		Shard: attempt.Shard, Snapshot: attempt.Snapshot,
		Part: forward.Part{Status: r.Status, Signature: r.Signature, Body: r.Body, Dropped: r.Dropped},
	}
}

// Run keeps in touch with the combiners until ctx ends.
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

// due returns the combiners to be asked, and takes those to be lost that were
// silent.
func (c *Client) dueHeartbeats() []*combiners.Combiner {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	due, lost := c.combiners.Due(c.clock.Now())
	for _, combiner := range lost {
		event.Log(c.logger, event.CombinerLost{Peer: combiner.Name, InFlight: combiner.InFlight})
	}
	return due
}

// ask asks one combiner whether it lives. Its silence is noticed by due.
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
	if combiner.Answered(now, now-started) {
		event.Log(c.logger, event.CombinerInTouch{Peer: combiner.Name, Zone: combiner.Zone})
	}
}
