package delegate

import (
	"context"
	"net/netip"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/peer"
)

// Runner runs requests of other nodes.
type Runner interface {
	// Status returns whether requests are accepted now, and under which configuration version.
	Status() executors.Status
	// Run runs a request of another node under a version of the configuration and blocks until its
	// fate is known. If another version is in force, it runs nothing and returns false.
	Run(ctx context.Context, from string, version uint64, request *forward.Request) (forward.Answer, bool)
}

// Serve registers the calls by which other nodes hand requests to a Runner. It must be called
// before the server serves.
func Serve(server *peer.Server, runner Runner) {
	peer.Register(server, methodStatus, func(context.Context, netip.AddrPort, *statusRequest) (*executors.Status, error) {
		status := runner.Status()
		return &status, nil
	})
	peer.Register(server, methodExecute, func(ctx context.Context, _ netip.AddrPort, request *executeRequest) (*executeResponse, error) {
		return execute(ctx, runner, request), nil
	})
}

func execute(ctx context.Context, runner Runner, request *executeRequest) *executeResponse {
	status := runner.Status()
	if !status.Accepts(request.Terms) {
		return &executeResponse{Refusal: refusedTerms, Status: status}
	}
	answer, ran := runner.Run(ctx, request.From, request.Terms.Version, &forward.Request{
		ID: request.ID, Method: request.Method, Host: request.Host, Path: request.Path,
		Head: request.Head, Body: request.Body, ClientTimeout: request.Patience, RelayTime: request.Away,
	})
	switch {
	case !ran:
		return &executeResponse{Refusal: refusedVersion, Status: runner.Status()}
	case answer.Fate == forward.FateNotRun && answer.Reason == dispatch.ReasonStopping:
		return &executeResponse{Refusal: refusedStopping, Status: runner.Status()}
	}
	return &executeResponse{
		Status: status, Fate: answer.Fate, Reason: answer.Reason, Body: answer.Body, Signatures: answer.Signatures,
		Missing: answer.Missing, RetryAfter: answer.RetryAfter, Route: answer.Route,
		Answered: answer.Answered, Total: answer.Total,
	}
}
