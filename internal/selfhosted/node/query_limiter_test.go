package node

import (
	"context"
	"errors"
	"testing"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// blockingRunner blocks each query until the test releases it.
type blockingRunner struct {
	entered chan struct{}
	release chan struct{}
}

func (r *blockingRunner) Query(context.Context, string, api.QueryRequest) (*api.QueryResponse, error) {
	r.entered <- struct{}{}
	<-r.release
	return &api.QueryResponse{}, nil
}

func (r *blockingRunner) Refuse(_ string, _ api.QueryRequest, notRun api.ProblemType) *api.Problem {
	return api.NewProblem(notRun, "")
}

// TestQueryLimiterRefusesExcessAndDrain fills the limiter and checks that one more query is
// refused, that a query is accepted once another has ended, and that a draining node refuses
// queries while those in progress complete.
func TestQueryLimiterRefusesExcessAndDrain(t *testing.T) {
	const limit = 3
	runner := &blockingRunner{entered: make(chan struct{}), release: make(chan struct{})}
	draining := make(chan struct{})
	limiter := newQueryLimiter(runner, draining, limit)
	results := make(chan error, limit+1)
	query := func() {
		_, err := limiter.Query(context.Background(), "rate-desk", api.QueryRequest{})
		results <- err
	}
	for range limit {
		go query()
		<-runner.entered
	}
	query()
	requireProblemType(t, <-results, api.ProblemNotRunOverload)
	runner.release <- struct{}{}
	if err := <-results; err != nil {
		t.Fatal(err)
	}
	go query()
	<-runner.entered
	close(draining)
	query()
	requireProblemType(t, <-results, api.ProblemNotRunDraining)
	close(runner.release)
	for range limit {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
}

func requireProblemType(t *testing.T, err error, want api.ProblemType) {
	t.Helper()
	var problem *api.Problem
	if !errors.As(err, &problem) || problem.Type != want {
		t.Errorf("got %v, want %s", err, want)
	}
}
