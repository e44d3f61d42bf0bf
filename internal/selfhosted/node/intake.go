package node

import (
	"context"
	"sync/atomic"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// queryRunner runs callers' queries, or refuses them.
type queryRunner interface {
	Query(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error)
	Refuse(service string, request api.QueryRequest, notRun api.ProblemType) *api.Problem
}

// intake takes callers' queries, unless the node is draining or has as many as
// it may. It is safe for concurrent use.
type intake struct {
	runner queryRunner
	// draining is closed when the planned stop begins.
	draining <-chan struct{}
	// limit is the number of queries that may be in the node at once.
	limit   int64
	present atomic.Int64
}

func newIntake(runner queryRunner, draining <-chan struct{}, limit int) *intake {
	return &intake{runner: runner, draining: draining, limit: int64(limit)}
}

// Query runs one query of a caller.
func (i *intake) Query(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error) {
	select {
	case <-i.draining:
		return nil, i.runner.Refuse(service, request, api.ProblemNotRunDraining)
	default:
	}
	defer i.present.Add(-1)
	if i.present.Add(1) > i.limit {
		return nil, i.runner.Refuse(service, request, api.ProblemNotRunOverload)
	}
	return i.runner.Query(ctx, service, request)
}
