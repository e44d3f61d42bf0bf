package combine

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/scatter"
)

// queryTimeout bounds the wait for the attempt of a session that carries the query. That attempt
// was sent before the others on the same connection, so the timeout is a few times the latency
// between zones.
const queryTimeout = 20 * time.Millisecond

// remoteSessionKey identifies a session of another node by the connection on which it arrived.
type remoteSessionKey struct {
	from   netip.AddrPort
	number uint64
}

// session is a query of another node while its attempts may arrive.
type session struct {
	// queryReceived is closed when query is set.
	queryReceived chan struct{}
	query         *forward.Request

	mutex sync.Mutex
	top   *records.Top
	// dropped holds the records dropped from each part, at the index of the part's number minus
	// one.
	dropped [][]byte
}

// combiner runs attempts for other nodes.
type combiner struct {
	leaves      Leaves
	acceptsWork func(leaf netip.AddrPort) bool

	mutex    sync.Mutex
	sessions map[remoteSessionKey]*session
}

// Serve registers the calls by which other nodes run attempts through this node. The callback
// acceptsWork reports whether a leaf may get work as far as this node knows; it may learn earlier
// than the other nodes that a leaf is leaving. Serve must be called before the server serves.
func Serve(server *peer.Server, leaves Leaves, acceptsWork func(leaf netip.AddrPort) bool) {
	c := &combiner{leaves: leaves, acceptsWork: acceptsWork, sessions: make(map[remoteSessionKey]*session)}
	peer.Register(server, methodPing, func(context.Context, netip.AddrPort, *pingRequest) (*pingResponse, error) {
		return &pingResponse{Alive: true}, nil
	})
	peer.Register(server, methodFetch, func(ctx context.Context, from netip.AddrPort, request *fetchRequest) (*fetchResponse, error) {
		return c.fetch(ctx, from, request), nil
	})
	peer.Register(server, methodRest, func(_ context.Context, from netip.AddrPort, request *restRequest) (*restResponse, error) {
		return c.fetchDropped(from, request), nil
	})
}

// fetch runs one attempt and drops records from its part.
func (c *combiner) fetch(ctx context.Context, from netip.AddrPort, request *fetchRequest) *fetchResponse {
	session := c.session(remoteSessionKey{from, request.Session}, request.Query)
	if !session.awaitQuery(ctx) || !c.acceptsWork(request.Address) {
		return &fetchResponse{NotTaken: true}
	}
	deadline := time.Now().Add(request.Remaining)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	response, err := c.leaves.Execute(ctx, scatter.Attempt[*forward.Request]{
		Send:       dispatch.Send{Leaf: request.Address, BootID: request.Instance},
		RequestID:  session.query.ID,
		Repeatable: true,
		Remaining:  time.Until(deadline),
		SendWithin: time.Until(deadline),
		CheckSend:  func() (time.Duration, error) { return c.checkSend(request.Address, deadline) },
		Payload:    session.query,
	})
	switch {
	case isWithdrawn(err):
		return &fetchResponse{NotTaken: true}
	case err != nil:
		return &fetchResponse{Failure: newTransportFailure(err)}
	}
	return session.thinResponse(response)
}

// errNotUsable is the error of an attempt whose leaf became unusable while the attempt waited.
var errNotUsable = errors.New("leaf no longer accepts new work")

// checkSend returns the time until the deadline of an attempt, or an error if the attempt must not
// be sent any more.
func (c *combiner) checkSend(target netip.AddrPort, deadline time.Time) (time.Duration, error) {
	remaining := time.Until(deadline)
	switch {
	case !c.acceptsWork(target):
		return 0, errNotUsable
	case remaining <= 0:
		return 0, context.DeadlineExceeded
	}
	return remaining, nil
}

// session returns the session of an attempt, which may carry the query. If an attempt arrives
// before the one with the query, it creates a session without a query.
func (c *combiner) session(key remoteSessionKey, query *queryHead) *session {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	existing, ok := c.sessions[key]
	if !ok {
		existing = &session{queryReceived: make(chan struct{})}
		c.sessions[key] = existing
	}
	switch {
	case query != nil && existing.query == nil:
		existing.query = query.toRequest()
		existing.top = records.NewTop(query.TopK, query.Floor)
		close(existing.queryReceived)
		time.AfterFunc(query.Limit, func() { c.removeSession(key, existing) })
	case !ok:
		time.AfterFunc(queryTimeout, func() { c.removeIfNoQuery(key, existing) })
	}
	return existing
}

// removeSession removes a session whose query has ended.
func (c *combiner) removeSession(key remoteSessionKey, ended *session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sessions[key] == ended {
		delete(c.sessions, key)
	}
}

// removeIfNoQuery removes a session whose query has not arrived.
func (c *combiner) removeIfNoQuery(key remoteSessionKey, waiting *session) {
	c.mutex.Lock()
	noQuery := waiting.query == nil
	c.mutex.Unlock()
	if noQuery {
		c.removeSession(key, waiting)
	}
}

// awaitQuery waits for the query of the session and reports whether it arrived.
func (s *session) awaitQuery(ctx context.Context) bool {
	select {
	case <-s.queryReceived:
		return true
	default:
	}
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case <-s.queryReceived:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// thinResponse drops the records of a response's part that are not among the greatest of the query.
func (s *session) thinResponse(received *scatter.Response[forward.Part]) *fetchResponse {
	response := &fetchResponse{
		Executed: received.Executed, Failed: received.Failed, Refusal: received.Refusal,
		RetryAfter: received.RetryAfter, Load: received.Load, Status: received.Part.Status,
	}
	if !received.Executed || received.Failed {
		return response
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var dropped []byte
	response.Signature = received.Part.Signature
	response.Body, dropped = s.top.Add(received.Part.Body)
	if len(dropped) > 0 {
		s.dropped = append(s.dropped, dropped)
		response.Dropped, response.Number = records.Max(dropped), len(s.dropped)
	}
	return response
}

// fetchDropped returns the records that were dropped from a part.
func (c *combiner) fetchDropped(from netip.AddrPort, request *restRequest) *restResponse {
	c.mutex.Lock()
	session := c.sessions[remoteSessionKey{from, request.Session}]
	c.mutex.Unlock()
	if session == nil {
		return &restResponse{}
	}
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if request.Number < 1 || request.Number > len(session.dropped) {
		return &restResponse{}
	}
	return &restResponse{Known: true, Records: records.FilterBelow(session.dropped[request.Number-1], request.Floor)}
}

// isWithdrawn reports whether an attempt was not sent because of checkSend.
func isWithdrawn(err error) bool {
	var transport *leaf.TransportError
	return errors.As(err, &transport) && transport.Withdrawn
}

func newTransportFailure(err error) *transportFailure {
	var transport *leaf.TransportError
	if errors.As(err, &transport) {
		return &transportFailure{Step: transport.Step, Sent: transport.Sent, Closed: transport.Closed, Refused: transport.Refused, Text: transport.Err.Error()}
	}
	return &transportFailure{Step: stepCombiner, Sent: true, Text: err.Error()}
}
