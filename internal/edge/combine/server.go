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
const headTimeout = 20 * time.Millisecond

// remoteKey names a query of another node, by the connection that it came on.
type remoteKey struct {
	from   netip.AddrPort
	number uint64
}

// session is a query of another node while its attempts may arrive.
type session struct {
	// known is closed once query is set.
	known chan struct{}
	query *forward.Request

	mutex sync.Mutex
	top   *records.Top
	// left holds what was left out of each part, by its number less one.
	left [][]byte
}

// combiner runs attempts for other nodes.
type combiner struct {
	leaves Leaves
	usable func(leaf netip.AddrPort) bool

	mutex    sync.Mutex
	sessions map[remoteKey]*session
}

// Serve runs attempts of other nodes at leaves that may get work, as far as this node
// knows: it may know that a leaf is leaving before they do. It is called before the server
// serves.
func Serve(server *peer.Server, leaves Leaves, usable func(leaf netip.AddrPort) bool) {
	c := &combiner{leaves: leaves, usable: usable, sessions: make(map[remoteKey]*session)}
	peer.Register(server, methodPing, func(context.Context, netip.AddrPort, *pingRequest) (*pingResponse, error) {
		return &pingResponse{Alive: true}, nil
	})
	peer.Register(server, methodFetch, func(ctx context.Context, from netip.AddrPort, request *fetchRequest) (*fetchResponse, error) {
		return c.fetch(ctx, from, request), nil
	})
	peer.Register(server, methodRest, func(_ context.Context, from netip.AddrPort, request *restRequest) (*restResponse, error) {
		return c.rest(from, request), nil
	})
}

// fetch runs one attempt and thins out its part.
func (c *combiner) fetch(ctx context.Context, from netip.AddrPort, request *fetchRequest) *fetchResponse {
	of := c.session(remoteKey{from, request.Session}, request.Query)
	if !of.await(ctx) || !c.usable(request.Address) {
		return &fetchResponse{NotTaken: true}
	}
	deadline, _ := ctx.Deadline()
	response, err := c.leaves.Execute(ctx, scatter.Attempt[*forward.Request]{
		Send:       dispatch.Send{Leaf: request.Address, BootID: request.Instance},
		RequestID:  of.query.ID,
		Repeatable: true,
		Remaining:  min(time.Until(deadline), request.Remaining),
		Payload:    of.query,
	})
	if err != nil {
		return &fetchResponse{Failure: failureOf(err)}
	}
	return of.responseOf(response)
}

// session returns the session of an attempt, which may bring its query. One
// without a query is made for an attempt that overtook the first.
func (c *combiner) session(key remoteKey, query *queryHead) *session {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found, known := c.sessions[key]
	if !known {
		found = &session{known: make(chan struct{})}
		c.sessions[key] = found
	}
	switch {
	case query != nil && found.query == nil:
		found.query = query.request()
		found.top = records.NewTop(query.TopK, query.Floor)
		close(found.known)
		time.AfterFunc(query.Limit, func() { c.forget(key, found) })
	case !known:
		time.AfterFunc(headTimeout, func() { c.forgetUnknown(key, found) })
	}
	return found
}

// forget drops a session whose query has ended.
func (c *combiner) forget(key remoteKey, ended *session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sessions[key] == ended {
		delete(c.sessions, key)
	}
}

// forgetUnknown drops a session whose query did not come.
func (c *combiner) forgetUnknown(key remoteKey, waiting *session) {
	c.mutex.Lock()
	unknown := waiting.query == nil
	c.mutex.Unlock()
	if unknown {
		c.forget(key, waiting)
	}
}

// await waits for the query of the session.
func (s *session) await(ctx context.Context) bool {
	select {
	case <-s.known:
		return true
	default:
	}
	waiting := time.NewTimer(headTimeout)
	defer waiting.Stop()
	select {
	case <-s.known:
		return true
	case <-waiting.C:
	case <-ctx.Done():
	}
	return false
}

// responseOf thins out the part of a response.
func (s *session) responseOf(received *scatter.Response[forward.Part]) *fetchResponse {
	response := &fetchResponse{
		Executed: received.Executed, Failed: received.Failed, Refusal: received.Refusal,
		RetryAfter: received.RetryAfter, Load: received.Load, Status: received.Part.Status,
	}
	if !received.Executed || received.Failed || received.Part.Status >= http.StatusMultipleChoices {
		return response
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var left []byte
	response.Signature = received.Part.Signature
	response.Body, left = s.top.Add(received.Part.Body)
	if len(left) > 0 {
		s.left = append(s.left, left)
		response.Dropped, response.Number = records.Max(left), len(s.left)
	}
	return response
}

// rest returns what was left out of a part.
func (c *combiner) rest(from netip.AddrPort, request *restRequest) *restResponse {
	c.mutex.Lock()
	of := c.sessions[remoteKey{from, request.Session}]
	c.mutex.Unlock()
	if of == nil {
		return &restResponse{}
	}
	of.mutex.Lock()
	defer of.mutex.Unlock()
	if request.Number < 1 || request.Number > len(of.left) {
		return &restResponse{}
	}
	return &restResponse{Known: true, Records: records.NotBelow(of.left[request.Number-1], request.Floor)}
}

func failureOf(err error) *failure {
	var transport *leaf.TransportError
	if errors.As(err, &transport) {
		return &failure{Step: transport.Step, Sent: transport.Sent, Closed: transport.Closed, Refused: transport.Refused, Text: transport.Err.Error()}
	}
	return &failure{Step: stepCombiner, Sent: true, Text: err.Error()}
}
