package node

import (
	"context"
	"sync/atomic"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// callerQueryRunner runs queries of callers and builds the problems for refused ones.
type callerQueryRunner interface {
	Query(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error)
	Refuse(service string, request api.QueryRequest, notRun api.ProblemType) *api.Problem
}

// queryLimiter passes queries of callers to a runner. It refuses them while the node is draining
// and when the concurrency limit is reached. It is safe for concurrent use.
type queryLimiter struct {
	runner callerQueryRunner
	// draining is closed when the planned stop begins.
	draining <-chan struct{}
	// limit is the maximum number of queries in progress.
	limit    int64
	inFlight atomic.Int64
}

func newQueryLimiter(runner callerQueryRunner, draining <-chan struct{}, limit int) *queryLimiter {
	return &queryLimiter{runner: runner, draining: draining, limit: int64(limit)}
}

// Query runs a query, or refuses it with a "not run" problem.
func (l *queryLimiter) Query(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error) {
	select {
	case <-l.draining:
		return nil, l.runner.Refuse(service, request, api.ProblemNotRunDraining)
	default:
	}
	defer l.inFlight.Add(-1)
	if l.inFlight.Add(1) > l.limit {
		return nil, l.runner.Refuse(service, request, api.ProblemNotRunOverload)
	}
	return l.runner.Query(ctx, service, request)
}
