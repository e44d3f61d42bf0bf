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
	r := newRig(t)
	r.wantExecutor("large-1")
}

func TestNoExecutorInTouch(t *testing.T) {
	r := newRig(t)
	r.clock.now += executors.DefaultConfig().HeartbeatTimeout + 1
	r.wantExecutor("")
	r.beat()
	r.wantExecutor("large-1")
}

func TestExecutorOfAnotherVersionIsNotAsked(t *testing.T) {
	r := newRig(t)
	r.peers.status.Version = version + 1
	r.beat()
	r.wantExecutor("")
	if len(r.peers.calls) != 0 {
		t.Errorf("%d calls", len(r.peers.calls))
	}
}

// TestExecutorThatHasNotHeardOfACordonIsNotAsked, and one that knows more is.
func TestExecutorThatHasNotHeardOfACordonIsNotAsked(t *testing.T) {
	r := newRig(t)
	cordoned := terms
	cordoned.Cordoned = []string{"b"}
	ask := func() bool {
		r.beat()
		_, done := r.client.Execute(context.Background(), cordoned, &forward.Request{ID: "x"})
		return done
	}
	if ask() {
		t.Error("handed to an executor that would send work to a zone out of service")
	}
	r.peers.status.Cordoned = []string{"a", "b"}
	if !ask() {
		t.Error("not handed to an executor that knows more")
	}
}

// TestOutageOfTheStoreForBoth: an executor without the store runs the requests
// of a node without it, and of no other.
func TestOutageOfTheStoreForBoth(t *testing.T) {
	r := newRig(t)
	r.peers.status.Fresh = false
	r.beat()
	r.wantExecutor("")
	answer, done := r.client.Execute(context.Background(), executors.Terms{Version: version}, &forward.Request{ID: "x"})
	if !done || answer.Executor != "large-1" {
		t.Errorf("%+v, %v", answer, done)
	}
}

// TestProofThatNothingRanLeadsToTheNext covers refusals and calls not sent.
func TestProofThatNothingRanLeadsToTheNext(t *testing.T) {
	for name, fail := range map[string]func(context.Context, *executeRequest) (executeResponse, error){
		"refused": func(context.Context, *executeRequest) (executeResponse, error) {
			return executeResponse{Refusal: refusedTerms}, nil
		},
		"not sent": func(context.Context, *executeRequest) (executeResponse, error) {
			return executeResponse{}, &peer.Error{NotExecuted: true, Err: peer.ErrLost}
		},
	} {
		r := newRig(t)
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
func TestLostRequestIsNotRunAgain(t *testing.T) {
	r := newRig(t)
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
func TestSilentExecutorEndsItsRequests(t *testing.T) {
	r := newRig(t)
	begun := make(chan struct{})
	r.peers.execute[r.near.Peer] = func(ctx context.Context, _ *executeRequest) (executeResponse, error) {
		close(begun)
		<-ctx.Done()
		return executeResponse{}, &peer.Error{Sent: true, Err: ctx.Err()}
	}
	ended := make(chan forward.Answer)
	go func() {
		answer, _ := r.execute()
		ended <- answer
	}()
	<-begun
	r.clock.now += executors.DefaultConfig().HeartbeatTimeout + 1
	r.client.due()
	if answer := <-ended; answer.Fate != forward.FateFailed {
		t.Errorf("%+v", answer)
	}
}

// TestClientThatLeavesEndsTheCall, and that is no sign of a lost executor.
func TestClientThatLeavesEndsTheCall(t *testing.T) {
	r := newRig(t)
	ctx, leave := context.WithCancel(context.Background())
	r.peers.execute[r.near.Peer] = func(ctx context.Context, _ *executeRequest) (executeResponse, error) {
		leave()
		<-ctx.Done()
		return executeResponse{}, &peer.Error{Sent: true, Err: ctx.Err()}
	}
	if _, done := r.client.Execute(ctx, terms, &forward.Request{ID: "x"}); !done || !errors.Is(ctx.Err(), context.Canceled) {
		t.Error("the request of a client that left is run again")
	}
	r.peers.execute[r.near.Peer] = answered("large-1")
	r.wantExecutor("large-1")
}

// TestWayToTheExecutorCounts for the objective of a request.
func TestWayToTheExecutorCounts(t *testing.T) {
	r := newRig(t)
	r.client.executors.Watched()[0].RoundTrip = 5 * time.Millisecond
	var away time.Duration
	r.peers.execute[r.near.Peer] = func(_ context.Context, request *executeRequest) (executeResponse, error) {
		away = request.Away
		return executeResponse{Fate: forward.FateMerged, Body: []byte("large-1")}, nil
	}
	r.wantExecutor("large-1")
	if away != 5*time.Millisecond+executors.Handling {
		t.Errorf("away for %v", away)
	}
}

// TestSlowExecutorIsPassedOver by its mean latency.
func TestSlowExecutorIsPassedOver(t *testing.T) {
	r := newRig(t)
	for _, one := range r.client.executors.Watched() {
		one.Near = true
	}
	took := map[string]time.Duration{"large-1": 300 * time.Millisecond, "large-2": 100 * time.Millisecond}
	for _, member := range []roster.Member{r.near, r.far} {
		r.peers.execute[member.Peer] = func(context.Context, *executeRequest) (executeResponse, error) {
			r.clock.now += took[member.Name]
			return executeResponse{Fate: forward.FateMerged, Body: []byte(member.Name)}, nil
		}
	}
	for _, one := range r.client.executors.Watched() {
		one.Completed(took[one.Name])
	}
	for range 5 {
		r.beat()
		r.wantExecutor("large-2")
	}
}

// TestRequestOnADroppedExecutorIsLeftToFinish: the executor may be well, and only
// others are preferred now.
func TestRequestOnADroppedExecutorIsLeftToFinish(t *testing.T) {
	r := newRig(t)
	r.peers.execute[r.near.Peer] = func(ctx context.Context, _ *executeRequest) (executeResponse, error) {
		r.client.SetRoles(executors.Roles{}, terms)
		r.client.due()
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
func TestRolesChangeWhileRequestsRun(t *testing.T) {
	r := newRig(t)
	r.client.SetRoles(executors.Roles{}, terms)
	r.wantExecutor("")
	r.client.SetRoles(executors.Roles{Self: executors.RoleDelegator, Executors: []roster.Member{r.far}}, terms)
	r.wantExecutor("")
	r.beat()
	r.wantExecutor("large-2")
}
