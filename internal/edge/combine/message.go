package combine

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/http1"
	"github.com/micaplank/micaplank/internal/leaf"
)

// The method names of the calls between nodes.
const (
	methodFetch = "combine.fetch"
	methodRest  = "combine.rest"
	methodPing  = "combine.ping"
)

// pingRequest is a heartbeat to a combiner.
type pingRequest struct{ From string }

// pingResponse is the response to a heartbeat.
type pingResponse struct{ Alive bool }

// fetchRequest asks a combiner to run one attempt at a leaf.
type fetchRequest struct {
	// Remaining is the time left for the attempt. The deadline of the call may be later if this
	// machine was suspended, because the call's timer stopped meanwhile.
	Remaining time.Duration
	// Session groups the attempts of a query. It is unique within the connection.
	Session uint64
	// Query is set in the first attempt of a session.
	Query    *queryHead
	Address  netip.AddrPort
	Instance string
}

// queryHead holds what all attempts of a query have in common.
type queryHead struct {
	ID         string
	Method     string
	Head, Body []byte
	TopK       int
	// Floor is a record below which no record is likely to be in the answer.
	Floor []byte
	// Limit is the time within which further attempts of the query may arrive.
	Limit time.Duration
}

func newQueryHead(request *forward.Request, limit time.Duration) *queryHead {
	return &queryHead{
		ID: request.ID, Method: request.Method, Head: request.Head, Body: request.Body,
		TopK: request.TopK, Floor: request.Floor, Limit: limit,
	}
}

func (q *queryHead) toRequest() *forward.Request {
	return &forward.Request{
		ID: q.ID, Method: q.Method, Head: q.Head, Body: q.Body, TopK: q.TopK, Floor: q.Floor, History: new(http1.History),
	}
}

// fetchResponse is the end of an attempt.
type fetchResponse struct {
	// NotTaken is set if the combiner did not send the attempt: it does not know the query, or it
	// would not send work to the leaf itself.
	NotTaken bool
	// Failure is set if the attempt ended without a response of the leaf.
	Failure *transportFailure

	Executed   bool
	Failed     bool
	Refusal    leaf.Refusal
	RetryAfter time.Duration
	Load       leaf.LoadSummary

	Status    int
	Signature string
	Body      []byte
	// Dropped is the greatest record that was dropped, and Number identifies the part in a
	// restRequest. Both are zero if the part is complete.
	Dropped []byte
	Number  int
}

// restRequest asks for the records that were dropped from a part and are not below a floor.
type restRequest struct {
	Session uint64
	Number  int
	Floor   []byte
}

// restResponse holds the dropped records. Known is false if the session has expired.
type restResponse struct {
	Known   bool
	Records []byte
}

// transportFailure is a leaf.TransportError between the combiner and the leaf.
type transportFailure struct {
	Step    leaf.Step
	Sent    bool
	Closed  bool
	Refused bool
	Text    string
}
