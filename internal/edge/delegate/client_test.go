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
	h := newTestHarness(t)
	h.wantExecutor("large-1")
}

func TestNoReachableExecutor(t *testing.T) {
	h := newTestHarness(t)
	h.clock.now += executors.DefaultConfig().HeartbeatTimeout + 1
	h.wantExecutor("")
	h.sendHeartbeats()
	h.wantExecutor("large-1")
}

func TestExecutorOfOtherVersionIsSkipped(t *testing.T) {
	h := newTestHarness(t)
	h.peers.status.Version = version + 1
	h.sendHeartbeats()
	h.wantExecutor("")
	if len(h.peers.calls) != 0 {
		t.Errorf("%d calls", len(h.peers.calls))
	}
}

// TestExecutorUnawareOfCordonIsSkipped checks that an executor gets no request if it does not know
// of a cordon that the request's terms contain. An executor that knows more cordons gets the
// request.
func TestExecutorUnawareOfCordonIsSkipped(t *testing.T) {
	h := newTestHarness(t)
	cordoned := terms
	cordoned.Cordoned = []string{"b"}
	execute := func() bool {
		h.sendHeartbeats()
		_, done := h.client.Execute(context.Background(), cordoned, &forward.Request{ID: "x"})
		return done
	}
	if execute() {
		t.Error("request was handed to an executor that does not know of a cordon")
	}
	h.peers.status.Cordoned = []string{"a", "b"}
	if !execute() {
		t.Error("request was not handed to an executor that knows more cordons")
	}
}

// TestStaleExecutorRunsOnlyStaleRequests checks that an executor without the store runs requests of
// a node that is without the store too, and of no other node.
func TestStaleExecutorRunsOnlyStaleRequests(t *testing.T) {
	h := newTestHarness(t)
	h.peers.status.Fresh = false
	h.sendHeartbeats()
	h.wantExecutor("")
	answer, done := h.client.Execute(context.Background(), executors.Terms{Version: version}, &forward.Request{ID: "x"})
	if !done || answer.Executor != "large-1" {
		t.Errorf("answer %+v, done %v, want it executed by large-1", answer, done)
	}
}

// TestNotExecutedRequestGoesToNextExecutor covers refused requests and calls that were not sent.
func TestNotExecutedRequestGoesToNextExecutor(t *testing.T) {
	for name, fail := range map[string]func(context.Context, *executeRequest) (executeResponse, error){
		"refused": func(context.Context, *executeRequest) (executeResponse, error) {
			return executeResponse{Refusal: refusedTerms}, nil
		},
		"not sent": func(context.Context, *executeRequest) (executeResponse, error) {
			return executeResponse{}, &peer.Error{NotExecuted: true, Err: peer.ErrConnectionLost}
		},
	} {
		h := newTestHarness(t)
		h.peers.execute[h.near.Peer] = fail
		h.wantExecutor("large-2")
		h.wantExecutor("large-2")
		if len(h.peers.calls) != 3 {
			t.Errorf("%s: %d calls, want 3: an executor is not asked again before its next heartbeat", name, len(h.peers.calls))
		}
		h.peers.execute[h.far.Peer] = fail
		h.wantExecutor("")
	}
}

// TestLostRequestIsNotRetried checks that a request which may have run fails.
func TestLostRequestIsNotRetried(t *testing.T) {
	h := newTestHarness(t)
	h.peers.execute[h.near.Peer] = func(context.Context, *executeRequest) (executeResponse, error) {
		return executeResponse{}, &peer.Error{Sent: true, Err: peer.ErrConnectionLost}
	}
	answer, done := h.execute()
	if !done || answer.Fate != forward.FateFailed || len(h.peers.calls) != 1 {
		t.Errorf("answer %+v, done %v, %d calls, want fate %s after 1 call", answer, done, len(h.peers.calls), forward.FateFailed)
	}
	h.wantExecutor("large-2")
}

// TestHeartbeatTimeoutEndsRequests checks that the requests of an executor that misses its
// heartbeats end immediately instead of at their deadline.
func TestHeartbeatTimeoutEndsRequests(t *testing.T) {
	h := newTestHarness(t)
	started := make(chan struct{})
	h.peers.execute[h.near.Peer] = func(ctx context.Context, _ *executeRequest) (executeResponse, error) {
		close(started)
		<-ctx.Done()
		return executeResponse{}, &peer.Error{Sent: true, Err: ctx.Err()}
	}
	answers := make(chan forward.Answer)
	go func() {
		answer, _ := h.execute()
		answers <- answer
	}()
	<-started
	h.clock.now += executors.DefaultConfig().HeartbeatTimeout + 1
	h.client.dueHeartbeats()
	if answer := <-answers; answer.Fate != forward.FateFailed {
		t.Errorf("answer %+v, want fate %s", answer, forward.FateFailed)
	}
}

// TestClientCancellationEndsCall checks that the call ends when the client disconnects, and that
// the executor is not marked as lost.
func TestClientCancellationEndsCall(t *testing.T) {
	h := newTestHarness(t)
	ctx, cancel := context.WithCancel(context.Background())
	h.peers.execute[h.near.Peer] = func(ctx context.Context, _ *executeRequest) (executeResponse, error) {
		cancel()
		<-ctx.Done()
		return executeResponse{}, &peer.Error{Sent: true, Err: ctx.Err()}
	}
	if _, done := h.client.Execute(ctx, terms, &forward.Request{ID: "x"}); !done || !errors.Is(ctx.Err(), context.Canceled) {
		t.Error("request of a disconnected client: got done false, which runs it again, or no cancellation")
	}
	h.peers.execute[h.near.Peer] = executedBy("large-1")
	h.wantExecutor("large-1")
}

// TestRelayTimeIncludesRoundTrip checks that the relay time, which counts towards the objective of
// a request, includes the round trip to the executor.
func TestRelayTimeIncludesRoundTrip(t *testing.T) {
	h := newTestHarness(t)
	h.client.executors.Monitored()[0].RoundTrip = 5 * time.Millisecond
	var relayTime time.Duration
	h.peers.execute[h.near.Peer] = func(_ context.Context, request *executeRequest) (executeResponse, error) {
		relayTime = request.Away
		return executeResponse{Fate: forward.FateMerged, Body: []byte("large-1")}, nil
	}
	h.wantExecutor("large-1")
	if relayTime != 5*time.Millisecond+executors.HandlingTime {
		t.Errorf("relay time %v, want %v", relayTime, 5*time.Millisecond+executors.HandlingTime)
	}
}

// TestSlowExecutorIsSkipped checks that an executor with a higher mean latency gets no requests.
func TestSlowExecutorIsSkipped(t *testing.T) {
	h := newTestHarness(t)
	for _, executor := range h.client.executors.Monitored() {
		executor.SameZone = true
	}
	latencies := map[string]time.Duration{"large-1": 300 * time.Millisecond, "large-2": 100 * time.Millisecond}
	for _, member := range []roster.Member{h.near, h.far} {
		h.peers.execute[member.Peer] = func(context.Context, *executeRequest) (executeResponse, error) {
			h.clock.now += latencies[member.Name]
			return executeResponse{Fate: forward.FateMerged, Body: []byte(member.Name)}, nil
		}
	}
	for _, executor := range h.client.executors.Monitored() {
		executor.RecordLatency(latencies[executor.Name])
	}
	for range 5 {
		h.sendHeartbeats()
		h.wantExecutor("large-2")
	}
}

// TestRequestOnRemovedExecutorFinishes checks that removing an executor does not cancel its
// requests: it may be healthy, and another one is merely preferred.
func TestRequestOnRemovedExecutorFinishes(t *testing.T) {
	h := newTestHarness(t)
	h.peers.execute[h.near.Peer] = func(ctx context.Context, _ *executeRequest) (executeResponse, error) {
		h.client.SetRoles(executors.Roles{}, terms)
		h.client.dueHeartbeats()
		select {
		case <-ctx.Done():
			return executeResponse{}, &peer.Error{Sent: true, Err: ctx.Err()}
		case <-time.After(50 * time.Millisecond): // a cancellation would arrive immediately
			return executeResponse{Fate: forward.FateMerged, Body: []byte("large-1")}, nil
		}
	}
	h.wantExecutor("large-1")
}

// TestRoleChangeRemovesExecutors checks that executors that are no longer members get no requests.
func TestRoleChangeRemovesExecutors(t *testing.T) {
	h := newTestHarness(t)
	h.client.SetRoles(executors.Roles{}, terms)
	h.wantExecutor("")
	h.client.SetRoles(executors.Roles{Self: executors.RoleDelegator, Executors: []roster.Member{h.far}}, terms)
	h.wantExecutor("")
	h.sendHeartbeats()
	h.wantExecutor("large-2")
}
