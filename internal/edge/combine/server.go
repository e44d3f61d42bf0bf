package combine

import (
	"context"
	"errors"
	"net/http"
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

// headTimeout bounds the wait for the attempt of a session that brings the query: it was
// sent before the others, on the same connection. Not measured: chosen because it is a few
// times as long as the way between zones.
const queryTimeout = 20 * time.Millisecond

// remoteKey names a query of another node, by the connection that it came on.
type remoteSessionKey struct {
	from   netip.AddrPort
	number uint64
}

// session is a query of another node while its attempts may arrive.
type session struct {
	// known is closed once query is set.
	queryReceived chan struct{}
	query         *forward.Request

	mutex sync.Mutex
	top   *records.Top
	// left holds what was left out of each part, by its number less one.
	dropped [][]byte
}

// combiner runs attempts for other nodes.
type combiner struct {
	leaves      Leaves
	acceptsWork func(leaf netip.AddrPort) bool

	mutex    sync.Mutex
	sessions map[remoteSessionKey]*session
}

// Serve runs attempts of other nodes at leaves that may get work, as far as this node
// knows: it may know that a leaf is leaving before they do. It is called before the server
// serves.
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

// fetch runs one attempt and thins out its part.
func (c *combiner) fetch(ctx context.Context, from netip.AddrPort, request *fetchRequest) *fetchResponse {
	session := c.session(remoteSessionKey{from, request.Session}, request.Query)
	if !session.awaitQuery(ctx) || !c.acceptsWork(request.Address) {
		return &fetchResponse{NotTaken: true}
	}
	deadline, _ := ctx.Deadline()
	response, err := c.leaves.Execute(ctx, scatter.Attempt[*forward.Request]{
		Send:       dispatch.Send{Leaf: request.Address, BootID: request.Instance},
		RequestID:  session.query.ID,
		Repeatable: true,
		Remaining:  min(time.Until(deadline), request.Remaining),
		Payload:    session.query,
	})
	if err != nil {
		return &fetchResponse{Failure: newTransportFailure(err)}
	}
	return session.thinResponse(response)
}

// session returns the session of an attempt, which may bring its query. One
// without a query is made for an attempt that overtook the first.
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

// forget drops a session whose query has ended.
func (c *combiner) removeSession(key remoteSessionKey, ended *session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sessions[key] == ended {
		delete(c.sessions, key)
	}
}

// forgetUnknown drops a session whose query did not come.
func (c *combiner) removeIfNoQuery(key remoteSessionKey, waiting *session) {
	c.mutex.Lock()
	noQuery := waiting.query == nil
	c.mutex.Unlock()
	if noQuery {
		c.removeSession(key, waiting)
	}
}

// await waits for the query of the session.
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

// responseOf thins out the part of a response.
func (s *session) thinResponse(received *scatter.Response[forward.Part]) *fetchResponse {
	response := &fetchResponse{
		Executed: received.Executed, Failed: received.Failed, Refusal: received.Refusal,
		RetryAfter: received.RetryAfter, Load: received.Load, Status: received.Part.Status,
	}
	if !received.Executed || received.Failed || received.Part.Status >= http.StatusMultipleChoices {
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

// rest returns what was left out of a part.
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
	return &restResponse{Known: true, Records: records.NotBelow(session.dropped[request.Number-1], request.Floor)}
}

func newTransportFailure(err error) *transportFailure {
	var transport *leaf.TransportError
	if errors.As(err, &transport) {
		return &transportFailure{Step: transport.Step, Sent: transport.Sent, Closed: transport.Closed, Refused: transport.Refused, Text: transport.Err.Error()}
	}
	return &transportFailure{Step: stepCombiner, Sent: true, Text: err.Error()}
}
