package combine

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/forward"
	"github.com/micaplank/micaplank/internal/leaf"
)

// The methods of the calls between nodes.
const (
	methodFetch = "combine.fetch"
	methodPing  = "combine.ping"
)

// pingRequest asks whether a combiner lives.
type pingRequest struct{ From string }

// pingResponse says that it does.
type pingResponse struct{ Alive bool }

// fetchRequest asks for one attempt at a leaf. Its time left is that of the
// call.
type fetchRequest struct {
	// Session groups the attempts of a query. It is unique to the connection.
	Session uint64
	// Query comes with the first attempt of a session.
	Query    *queryHead
	Address  netip.AddrPort
	Instance string
}

// queryHead is what all attempts of a query have in common.
type queryHead struct {
	ID           string
	Method       string
	Host, Path   string
	Head, Body   []byte
	TopK         int
	SessionLimit time.Duration
}

func headOf(request *forward.Request, limit time.Duration) *queryHead {
	return &queryHead{
		ID: request.ID, Method: request.Method, Host: request.Host, Path: request.Path,
		Head: request.Head, Body: request.Body, TopK: request.TopK, SessionLimit: limit,
	}
}

func (q *queryHead) request() *forward.Request {
	return &forward.Request{
		ID: q.ID, Method: q.Method, Host: q.Host, Path: q.Path, Head: q.Head, Body: q.Body, TopK: q.TopK,
	}
}

// fetchResponse is the end of an attempt.
type fetchResponse struct {
	// UnknownSession is set if the combiner does not know the query, and has
	// sent nothing.
	UnknownSession bool
	// Failure is set if the attempt ended without an answer of the leaf.
	Failure *failure

	Executed   bool
	Failed     bool
	Refusal    leaf.Refusal
	RetryAfter time.Duration
	Load       leaf.LoadSummary

	Status    int
	Signature string
	Body      []byte
	Dropped   []byte
}

// failure is a leaf.TransportError between the combiner and the leaf.
type failure struct {
	Step leaf.Step
	Sent bool
	Text string
}
