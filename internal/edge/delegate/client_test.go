package delegate

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
)

func TestNearExecutorIsPreferred(t *testing.T) {
	r := newTestRig(t)
	r.wantExecutor("large-1")
}

func TestNoReachableExecutor(t *testing.T) {
	r := newTestRig(t)
	r.clock.now += executors.DefaultConfig().HeartbeatTimeout + 1
	r.wantExecutor("")
	r.sendHeartbeats()
	r.wantExecutor("large-1")
}

func TestExecutorOfOtherVersionIsSkipped(t *testing.T) {
	r := newTestRig(t)
	r.peers.status.Version = version + 1
	r.sendHeartbeats()
	r.wantExecutor("")
	if len(r.peers.calls) != 0 {
		t.Errorf("%d calls", len(r.peers.calls))
	}
}

// TestExecutorThatHasNotHeardOfACordonIsNotAsked, and one that knows more is.
func TestExecutorUnawareOfCordonIsSkipped(t *testing.T) {
	r := newTestRig(t)
	cordoned := terms
	cordoned.Cordoned = []string{"b"}
	execute := func() bool {
		r.sendHeartbeats()
		_, done := r.client.Execute(context.Background(), cordoned, &forward.Request{ID: "x"})
		return done
	}
	if execute() {
		t.Error("handed to an executor that would send work to a zone out of service")
	}
	r.peers.status.Cordoned = []string{"a", "b"}
	if !execute() {
		t.Error("not handed to an executor that knows more")
	}
}

// TestOutageOfTheStoreForBoth: an executor without the store runs the requests
// of a node without it, and of no other.
func TestStaleExecutorRunsOnlyStaleRequests(t *testing.T) {
	r := newTestRig(t)
	r.peers.status.Fresh = false
	r.sendHeartbeats()
	r.wantExecutor("")
	answer, done := r.client.Execute(context.Background(), executors.Terms{Version: version}, &forward.Request{ID: "x"})
	if !done || answer.Executor != "large-1" {
		t.Errorf("%+v, %v", answer, done)
	}
}

// TestProofThatNothingRanLeadsToTheNext covers refusals and calls not sent.
func TestNotExecutedRequestGoesToNextExecutor(t *testing.T) {
	for name, fail := range map[string]func(context.Context, *executeRequest) (executeResponse, error){
		"refused": func(context.Context, *executeRequest) (executeResponse, error) {
			return executeResponse{Refusal: refusedTerms}, nil
		},
		"not sent": func(context.Context, *executeRequest) (executeResponse, error) {
			return executeResponse{}, &peer.Error{NotExecuted: true, Err: peer.ErrLost}
		},
	} {
		r := newTestRig(t)
		r.peers.execute[r.near.Peer] = fail
		r.wantExecutor("large-2")
		r.wantExecutor("large-2")
		if len(r.peers.calls) != 3 {
			t.Errorf("%s: %d calls; the executor is asked again before its next word", name, len(r.peers.calls))
		}
		r.peers.execute[r.far.Peer] = fail
		r.wantExecutor("")
	}
}

// TestLostRequestIsNotRunAgain fails a request that may have run.
func TestLostRequestIsNotRetried(t *testing.T) {
	r := newTestRig(t)
	r.peers.execute[r.near.Peer] = func(context.Context, *executeRequest) (executeResponse, error) {
		return executeResponse{}, &peer.Error{Sent: true, Err: peer.ErrLost}
	}
	answer, done := r.execute()
	if !done || answer.Fate != forward.FateFailed || len(r.peers.calls) != 1 {
		t.Errorf("%+v, %v, %d calls", answer, done, len(r.peers.calls))
	}
	r.wantExecutor("large-2")
}

// TestSilentExecutorEndsItsRequests at once, not at their deadline.
func TestHeartbeatTimeoutEndsRequests(t *testing.T) {
	r := newTestRig(t)
	started := make(chan struct{})
	r.peers.execute[r.near.Peer] = func(ctx context.Context, _ *executeRequest) (executeResponse, error) {
		close(started)
		<-ctx.Done()
		return executeResponse{}, &peer.Error{Sent: true, Err: ctx.Err()}
	}
	answers := make(chan forward.Answer)
	go func() {
		answer, _ := r.execute()
		answers <- answer
	}()
	<-started
	r.clock.now += executors.DefaultConfig().HeartbeatTimeout + 1
	r.client.dueHeartbeats()
	if answer := <-answers; answer.Fate != forward.FateFailed {
		t.Errorf("%+v", answer)
	}
}

// TestClientThatLeavesEndsTheCall, and that is no sign of a lost executor.
func TestClientCancellationEndsCall(t *testing.T) {
	r := newTestRig(t)
	ctx, cancel := context.WithCancel(context.Background())
	r.peers.execute[r.near.Peer] = func(ctx context.Context, _ *executeRequest) (executeResponse, error) {
		cancel()
		<-ctx.Done()
		return executeResponse{}, &peer.Error{Sent: true, Err: ctx.Err()}
	}
	if _, done := r.client.Execute(ctx, terms, &forward.Request{ID: "x"}); !done || !errors.Is(ctx.Err(), context.Canceled) {
		t.Error("the request of a client that left is run again")
	}
	r.peers.execute[r.near.Peer] = executedBy("large-1")
	r.wantExecutor("large-1")
}

// TestWayToTheExecutorCounts for the objective of a request.
func TestRelayTimeIncludesRoundTrip(t *testing.T) {
	r := newTestRig(t)
	r.client.executors.Watched()[0].RoundTrip = 5 * time.Millisecond
	var relayTime time.Duration
	r.peers.execute[r.near.Peer] = func(_ context.Context, request *executeRequest) (executeResponse, error) {
		relayTime = request.Away
		return executeResponse{Fate: forward.FateMerged, Body: []byte("large-1")}, nil
	}
	r.wantExecutor("large-1")
	if relayTime != 5*time.Millisecond+executors.Handling {
		t.Errorf("away for %v", relayTime)
	}
}

// TestSlowExecutorIsPassedOver by its mean latency.
func TestSlowExecutorIsSkipped(t *testing.T) {
	r := newTestRig(t)
	for _, executor := range r.client.executors.Watched() {
		executor.Near = true
	}
	latencies := map[string]time.Duration{"large-1": 300 * time.Millisecond, "large-2": 100 * time.Millisecond}
	for _, member := range []roster.Member{r.near, r.far} {
		r.peers.execute[member.Peer] = func(context.Context, *executeRequest) (executeResponse, error) {
			r.clock.now += latencies[member.Name]
			return executeResponse{Fate: forward.FateMerged, Body: []byte(member.Name)}, nil
		}
	}
	for _, executor := range r.client.executors.Watched() {
		executor.Completed(latencies[executor.Name])
	}
	for range 5 {
		r.sendHeartbeats()
		r.wantExecutor("large-2")
	}
}

// TestRequestOnADroppedExecutorIsLeftToFinish: the executor may be well, and only
// others are preferred now.
func TestRequestOnRemovedExecutorFinishes(t *testing.T) {
	r := newTestRig(t)
	r.peers.execute[r.near.Peer] = func(ctx context.Context, _ *executeRequest) (executeResponse, error) {
		r.client.SetRoles(executors.Roles{}, terms)
		r.client.dueHeartbeats()
		select {
		case <-ctx.Done():
			return executeResponse{}, &peer.Error{Sent: true, Err: ctx.Err()}
		case <-time.After(50 * time.Millisecond): // a cancellation comes at once
			return executeResponse{Fate: forward.FateMerged, Body: []byte("large-1")}, nil
		}
	}
	r.wantExecutor("large-1")
}

// TestRolesChangeWhileRequestsRun drops executors that are no members any more.
func TestRoleChangeRemovesExecutors(t *testing.T) {
	r := newTestRig(t)
	r.client.SetRoles(executors.Roles{}, terms)
	r.wantExecutor("")
	r.client.SetRoles(executors.Roles{Self: executors.RoleDelegator, Executors: []roster.Member{r.far}}, terms)
	r.wantExecutor("")
	r.sendHeartbeats()
	r.wantExecutor("large-2")
}
