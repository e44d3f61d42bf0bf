package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Part is a leaf's whole answer.
type Part struct {
	// Status is that of HTTP.
	Status int
	Header http.Header
	Body   []byte
	// Signature is the leaf's mark of the answer.
	Signature string
	// Dropped is the greatest record that another node left out of Body, since
	// it is unlikely to count in the answer; empty if Body is whole.
	Dropped []byte
	// Rest fetches the records left out that are not below a floor, until ctx ends. It is
	// set if Dropped is. After an error they cannot be had any more.
	FetchDropped func(ctx context.Context, floor []byte) ([]byte, error)
}

// Fate is the final state of a client's request. It stands beside the Outcome of its
// query (package dispatch), of which it is made, and the End of each attempt (package
// scatter).
type Fate string

// The fates of a request.
const (
	// FateAnswered means that Answer.Part is a leaf's answer, to be returned
	// unchanged. It may be the answer of a leaf that failed.
	FateAnswered Fate = "answered"
	// FateMerged means that Answer.Body is made from several parts.
	FateMerged Fate = "merged"
	// FateNoRoute means that the configuration has no route for it.
	FateNoRoute Fate = "no_route"
	// FateNotRun means that it ran nowhere and never will.
	FateNotRun Fate = "not_run"
	// FateLate means that the time was used up and it may have run.
	FateLate Fate = "late"
	// FateFailed means that there is no answer and it may have run.
	FateFailed Fate = "failed"
)

// Answer is the final answer to a request.
type Answer struct {
	Fate   Fate
	Reason dispatch.Reason
	// Part is the leaf's answer of FateAnswered.
	Part Part
	// Body, Signatures and Missing make up FateMerged: the merged records, the
	// signatures of the parts, and the number of shards left out.
	Body       []byte
	Signatures []string
	Missing    int
	// RetryAfter is the time after which the client may retry, with FateNotRun; see
	// package retryafter.
	RetryAfter time.Duration
	// Route is the name of the route, and Version that of the configuration;
	// both are empty if there is none.
	Route   string
	Version uint64
	// Answered and Total count the shards.
	Answered, Total int
	// Attempts is the trace of the attempts. It is empty if another node ran the
	// request; Executor is the name of that node.
	Attempts []scatter.AttemptTrace
	Executor string
}
