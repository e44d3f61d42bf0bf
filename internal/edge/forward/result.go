package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Part is a leaf's whole response.
type Part struct {
	// Status is the HTTP status.
	Status int
	Header http.Header
	Body   []byte
	// Signature is the signature that the leaf attached to the response.
	Signature string
	// Dropped is a record that none of those that are missing in Body exceeds. A combiner dropped
	// them because they are unlikely to be in the answer. It is empty if Body is complete.
	Dropped []byte
	// FetchDropped fetches the dropped records that are not below a floor, until ctx ends. It is
	// set if Dropped is. After an error the records cannot be fetched again.
	FetchDropped func(ctx context.Context, floor []byte) ([]byte, error)
	// fetchedFloor is the floor of the last fetch; nil before the first one.
	fetchedFloor []byte
}

// fetchDownTo adds the dropped records that are not below a floor to the body; a nil floor excludes
// none. It must not be called again after an error.
func (p *Part) fetchDownTo(ctx context.Context, floor []byte) error {
	fetched, err := p.FetchDropped(ctx, floor)
	if err != nil {
		return err
	}
	if p.fetchedFloor != nil {
		fetched = records.Below(fetched, p.fetchedFloor)
	}
	p.Body = slices.Concat(p.Body, fetched)
	p.Dropped, p.fetchedFloor = floor, floor
	return nil
}

// Fate is the final state of a client's request. It is derived from the Outcome of the request's
// query (package dispatch). Each attempt has an End of its own (package scatter).
type Fate string

// The fates of a request.
const (
	// FateAnswered means that Answer.Part is a leaf's response, to be returned unchanged. It may be
	// the response of a leaf that failed.
	FateAnswered Fate = "answered"
	// FateMerged means that Answer.Body is merged from several parts.
	FateMerged Fate = "merged"
	// FateNoRoute means that the configuration has no route for the request.
	FateNoRoute Fate = "no_route"
	// FateNotRun means that no leaf executed the request or ever will.
	FateNotRun Fate = "not_run"
	// FateLate means that the timeout expired and the request may have been executed.
	FateLate Fate = "late"
	// FateFailed means that there is no answer and the request may have been executed.
	FateFailed Fate = "failed"
)

// Answer is the final answer to a request.
type Answer struct {
	Fate   Fate
	Reason dispatch.Reason
	// Part is the leaf's response, set with FateAnswered.
	Part Part
	// Body, Signatures and Missing are set with FateMerged: the merged records, the signatures of
	// the parts, and the number of shards without a part.
	Body       []byte
	Signatures []string
	Missing    int
	// RetryAfter is the time after which the client may retry, set with FateNotRun; see package
	// retryafter.
	RetryAfter time.Duration
	// Route is the name of the route, and Version the version of the configuration. Route is empty
	// without a route, and Version is zero without a configuration.
	Route   string
	Version uint64
	// Answered and Total are numbers of shards.
	Answered, Total int
	// Attempts is the trace of the attempts. It is empty if another node, named by Executor, ran
	// the request.
	Attempts []scatter.AttemptTrace
	Executor string
}
