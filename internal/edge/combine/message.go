package combine

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/leaf"
)

// The methods of the calls between nodes.
const (
	methodFetch = "combine.fetch"
	methodRest  = "combine.rest"
	methodPing  = "combine.ping"
)

// pingRequest asks whether a combiner lives.
type pingRequest struct{ From string }

// pingResponse says that it does.
type pingResponse struct{ Alive bool }

// fetchRequest asks for one attempt at a leaf.
type fetchRequest struct {
	// Remaining is the time left for it. The call may have more where this machine was
	// suspended: its own time stood still.
	Remaining time.Duration
	// Session groups the attempts of a query. It is unique to the connection.
	Session uint64
	// Query comes with the first attempt of a session.
	Query    *queryHead
	Address  netip.AddrPort
	Instance string
}

// queryHead is what all attempts of a query have in common.
type queryHead struct {
	ID         string
	Method     string
	Head, Body []byte
	TopK       int
	// Floor is a record below which none is likely to count.
	Floor []byte
	// Limit is how long attempts of the query may come.
	Limit time.Duration
}

func newQueryHead(request *forward.Request, limit time.Duration) *queryHead {
	return &queryHead{
		ID: request.ID, Method: request.Method, Head: request.Head, Body: request.Body,
		TopK: request.TopK, Floor: request.Floor, Limit: limit,
	}
}

func (q *queryHead) toRequest() *forward.Request {
	return &forward.Request{ID: q.ID, Method: q.Method, Head: q.Head, Body: q.Body, TopK: q.TopK, Floor: q.Floor}
}

// fetchResponse is the end of an attempt.
type fetchResponse struct {
	// NotTaken is set if the combiner has sent nothing: it does not know the
	// query, or would not give the leaf work itself.
	NotTaken bool
	// Failure is set if the attempt ended without an answer of the leaf.
	Failure *transportFailure

	Executed   bool
	Failed     bool
	Refusal    leaf.Refusal
	RetryAfter time.Duration
	Load       leaf.LoadSummary

	Status    int
	Signature string
	Body      []byte
	// Dropped is the greatest record that was left out, and Number names the
	// part to a restRequest; both are zero if the part is whole.
	Dropped []byte
	Number  int
}

// restRequest asks for the records that were left out of a part and are not
// below a floor.
type restRequest struct {
	Session uint64
	Number  int
	Floor   []byte
}

// restResponse holds them, if the session is still known.
type restResponse struct {
	Known   bool
	Records []byte
}

// failure is a leaf.TransportError between the combiner and the leaf.
type transportFailure struct {
	Step    leaf.Step
	Sent    bool
	Closed  bool
	Refused bool
	Text    string
}
