package scatter

import (
	"context"
	"net/netip"

	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
)

// StatementExecutor sends statements to leaves over the leaf protocol. *leaf.Client implements it.
type StatementExecutor interface {
	Execute(ctx context.Context, address netip.AddrPort, request leaf.ExecuteRequest) (*leaf.ExecuteResponse, error)
}

// Statements adapts a StatementExecutor to LeafClient. The payload is the canonical text of a
// statement, and the part is a table of rows.
type Statements struct {
	Executor StatementExecutor
}

// Execute implements LeafClient.
func (s Statements) Execute(ctx context.Context, attempt Attempt[string]) (*Response[rows.Table], error) {
	response, err := s.Executor.Execute(ctx, attempt.Leaf, leaf.ExecuteRequest{
		RequestID:             attempt.RequestID,
		AttemptID:             attempt.ID,
		Service:               attempt.Service,
		Shard:                 attempt.Shard,
		Snapshot:              attempt.Snapshot,
		Statement:             attempt.Payload,
		RemainingMilliseconds: max(attempt.Remaining.Milliseconds(), 1),
		Repeatable:            attempt.Repeatable,
	})
	if err != nil {
		return nil, err
	}
	return &Response[rows.Table]{
		Executed: response.Executed,
		Refusal:  response.Refusal,
		Detail:   response.Detail,
		Shard:    response.Shard,
		Snapshot: response.Snapshot,
		BootID:   response.BootID,
		Load:     response.Load,
		Part:     response.Table,
	}, nil
}
