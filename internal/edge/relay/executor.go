package relay

import (
	"context"
	"net/netip"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/peer"
)

// Executor runs requests of other nodes.
type Executor interface {
	// Status says whether requests are taken now, and under which version.
	Status() Status
	// Run runs a request of another node under a version of the configuration
	// and blocks until its fate is known. It returns false, and has run nothing,
	// if another version is in force.
	Run(ctx context.Context, from string, version uint64, request *forward.Request) (forward.Answer, bool)
}

// Serve takes requests of other nodes. It is called before the server serves.
func Serve(server *peer.Server, executor Executor) {
	peer.Register(server, methodStatus, func(context.Context, netip.AddrPort, *statusRequest) (*Status, error) {
		status := executor.Status()
		return &status, nil
	})
	peer.Register(server, methodExecute, func(ctx context.Context, _ netip.AddrPort, request *executeRequest) (*executeResponse, error) {
		return execute(ctx, executor, request), nil
	})
}

func execute(ctx context.Context, executor Executor, request *executeRequest) *executeResponse {
	status := executor.Status()
	if !status.takes(request.Terms) {
		return &executeResponse{Refusal: refusedTerms, Status: status}
	}
	answer, ran := executor.Run(ctx, request.From, request.Terms.Version, &forward.Request{
		ID: request.ID, Method: request.Method, Host: request.Host, Path: request.Path,
		Head: request.Head, Body: request.Body, ClientTimeout: request.Patience, RelayTime: request.Away,
	})
	if !ran {
		return &executeResponse{Refusal: refusedVersion, Status: executor.Status()}
	}
	return &executeResponse{
		Status: status, Fate: answer.Fate, Reason: answer.Reason, Body: answer.Body, Signatures: answer.Signatures,
		Missing: answer.Missing, RetryAfter: answer.RetryAfter, Route: answer.Route,
		Answered: answer.Answered, Total: answer.Total,
	}
}
