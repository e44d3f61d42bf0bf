package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/edge/forward"
)

// localRunner runs requests on this node. It implements delegate.Runner for the requests of other
// nodes.
type localRunner struct {
	clock     clock.Clock
	logger    *slog.Logger
	forwarder interface {
		Execute(ctx context.Context, request *forward.Request) forward.Answer
		ExecuteVersion(ctx context.Context, version uint64, request *forward.Request) (forward.Answer, bool)
	}
	workload *workload
	rollouts interface {
		observe(answer forward.Answer, duration time.Duration)
	}
	terms *terms
	ready func() bool
}

// execute runs a request that this node received from its client.
func (r *localRunner) execute(ctx context.Context, request *forward.Request) forward.Answer {
	started := r.clock.Now()
	answer := r.forwarder.Execute(ctx, request)
	r.record(answer, r.clock.Now()-started)
	return answer
}

// record counts a request and how long it took.
func (r *localRunner) record(answer forward.Answer, duration time.Duration) {
	r.workload.add(answer.Total)
	r.rollouts.observe(answer, duration)
}

// Status implements delegate.Runner.
func (r *localRunner) Status() executors.Status {
	current := r.terms.current()
	return executors.Status{
		Version:   current.Version,
		Accepting: r.workload.accepts() && r.ready(),
		Fresh:     current.Fresh,
		Cordoned:  current.Cordoned,
	}
}

// Run implements delegate.Runner.
func (r *localRunner) Run(ctx context.Context, receivedBy string, version uint64, request *forward.Request) (forward.Answer, bool) {
	started := r.clock.Now()
	request.ArrivedAt = started
	answer, ran := r.forwarder.ExecuteVersion(ctx, version, request)
	if ran {
		duration := r.clock.Now() - started
		r.record(answer, duration)
		logRequest(r.logger, request, answer, duration, receivedBy)
	}
	return answer, ran
}
