package node

import (
	"context"
	"sync/atomic"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// queryRunner runs callers' queries, or refuses them.
type callerQueryRunner interface {
	Query(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error)
	Refuse(service string, request api.QueryRequest, notRun api.ProblemType) *api.Problem
}

// intake takes callers' queries, unless the node is draining or has as many as
// it may. It is safe for concurrent use.
type queryLimiter struct {
	runner callerQueryRunner
	// draining is closed when the planned stop begins.
	draining <-chan struct{}
	// limit is the number of queries that may be in the node at once.
	limit    int64
	inFlight atomic.Int64
}

func newQueryLimiter(runner callerQueryRunner, draining <-chan struct{}, limit int) *queryLimiter {
	return &queryLimiter{runner: runner, draining: draining, limit: int64(limit)}
}

// Query runs one query of a caller.
func (i *queryLimiter) Query(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error) {
	select {
	case <-i.draining:
		return nil, i.runner.Refuse(service, request, api.ProblemNotRunDraining)
	default:
	}
	defer i.inFlight.Add(-1)
	if i.inFlight.Add(1) > i.limit {
		return nil, i.runner.Refuse(service, request, api.ProblemNotRunOverload)
	}
	return i.runner.Query(ctx, service, request)
}
