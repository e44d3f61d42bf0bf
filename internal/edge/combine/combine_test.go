package combine

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/scatter"
)

func TestDirectAttempts(t *testing.T) {
	h := newTestHarness(t, leavesAnswering(1))
	singleLeaf := newQuery()
	singleLeaf.TopK = 0
	for name, attempt := range map[string]scatter.Attempt[*forward.Request]{
		"own zone":                 newAttempt("a", newQuery()),
		"a zone without combiners": newAttempt("c", newQuery()),
		"a request of one leaf":    newAttempt("b", singleLeaf),
	} {
		before := h.direct.count()
		if _, err := h.execute(attempt); err != nil || h.direct.count() != before+1 || h.combined.count() != 0 {
			t.Errorf("%s: error %v, %d sent directly, want 1 and none by the combiner", name, err, h.direct.count()-before)
		}
	}
}

// TestCombinerLoss checks that an attempt is ended when the combiner that runs it is lost. The
// attempt may have run, and the failure is not attributed to the leaf. Later attempts go directly.
func TestCombinerLoss(t *testing.T) {
	taken := make(chan struct{})
	h := newTestHarness(t, &fakeLeaves{run: func(ctx context.Context, _ scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		close(taken)
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	ended := make(chan error)
	go func() {
		_, err := h.execute(newAttempt("b", newQuery()))
		ended <- err
	}()
	<-taken
	h.closeServer()
	var transport *leaf.TransportError
	if err := <-ended; !errors.As(err, &transport) || !transport.Sent || !transport.LostAtRelay {
		t.Fatalf("attempt ended with %v, want a TransportError with Sent and OnTheWay", err)
	}
	if h.direct.count() != 0 {
		t.Error("the attempt was also sent directly, want it sent once")
	}
	if _, err := h.execute(newAttempt("b", newQuery())); err != nil || h.direct.count() != 1 {
		t.Errorf("next attempt: error %v, %d sent directly, want 1", err, h.direct.count())
	}
}

// TestStoppingCombinerFinishesInFlightAttempt checks that a stopping combiner refuses a new
// attempt, which then goes directly, while it completes an earlier one.
func TestStoppingCombinerFinishesInFlightAttempt(t *testing.T) {
	taken, release := make(chan struct{}), make(chan struct{})
	var held atomic.Bool
	h := newTestHarness(t, &fakeLeaves{run: func(context.Context, scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		if held.CompareAndSwap(false, true) {
			close(taken)
			<-release
		}
		return newPart(9), nil
	}})
	ended := make(chan error)
	go func() {
		_, err := h.execute(newAttempt("b", newQuery()))
		ended <- err
	}()
	<-taken
	stopped := make(chan struct{})
	go func() {
		_ = h.server.Close(context.Background())
		close(stopped)
	}()
	for h.direct.count() == 0 {
		if _, err := h.execute(newAttempt("b", newQuery())); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
	close(release)
	if err := <-ended; err != nil {
		t.Errorf("in-flight attempt: %v", err)
	}
	<-stopped
}

// TestCancellationReachesLeaf checks that the attempt at the leaf ends with that of the caller, and
// that the combiner is not marked as lost.
func TestCancellationReachesLeaf(t *testing.T) {
	taken, freed := make(chan struct{}), make(chan struct{})
	h := newTestHarness(t, &fakeLeaves{run: func(ctx context.Context, _ scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		close(taken)
		<-ctx.Done()
		close(freed)
		return nil, ctx.Err()
	}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-taken
		cancel()
	}()
	_, err := h.client.Execute(ctx, newAttempt("b", newQuery()))
	var transport *leaf.TransportError
	if !errors.As(err, &transport) || transport.LostAtRelay {
		t.Errorf("attempt ended with %v, want a TransportError without OnTheWay", err)
	}
	select {
	case <-freed:
	case <-time.After(testTimeout):
		t.Fatal("the attempt at the leaf was not cancelled")
	}
	h.await("a connected combiner", func() bool { return h.client.combiners.Choose("b") != nil })
}

// TestUnknownSessionFallsBackToDirect checks that an attempt is sent directly, once, if the
// combiner does not know its query.
func TestUnknownSessionFallsBackToDirect(t *testing.T) {
	h := newTestHarness(t, leavesAnswering(1))
	query := newQuery()
	h.client.mutex.Lock()
	combiner := h.client.combiners.Choose("b")
	h.client.sessions[sessionKey{query, "b"}] = &clientSession{number: 77, combiner: combiner, inFlight: 1}
	h.client.mutex.Unlock()
	if _, err := h.execute(newAttempt("b", query)); err != nil {
		t.Fatal(err)
	}
	if h.direct.count() != 1 || h.combined.count() != 0 {
		t.Errorf("%d sent directly, %d by the combiner, want 1 and 0", h.direct.count(), h.combined.count())
	}
}

// TestCombinerRefusesLeavingLeaf checks that a combiner does not send an attempt to a leaf that it
// knows to be leaving.
func TestCombinerRefusesLeavingLeaf(t *testing.T) {
	h := newTestHarness(t, leavesAnswering(1))
	h.leaving.Store(true)
	if _, err := h.execute(newAttempt("b", newQuery())); err != nil || h.direct.count() != 1 || h.combined.count() != 0 {
		t.Errorf("error %v, %d sent directly, %d by the combiner, want 1 and 0", err, h.direct.count(), h.combined.count())
	}
}

// TestSessionsExpire checks that a combiner removes sessions, with and without a query, after their
// time limit.
func TestSessionsExpire(t *testing.T) {
	c := &combiner{leaves: leavesAnswering(1), sessions: make(map[remoteSessionKey]*session)}
	withQuery := c.session(remoteSessionKey{number: 1}, newQueryHead(newQuery(), time.Microsecond))
	withoutQuery := c.session(remoteSessionKey{number: 2}, nil)
	if withQuery.query == nil || withoutQuery.query != nil {
		t.Fatal("want a query in the first session only")
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		c.mutex.Lock()
		remaining := len(c.sessions)
		c.mutex.Unlock()
		if remaining == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d sessions remain, want 0", remaining)
		}
	}
}

// Guards against a leaf's rejection that a combiner of an earlier version reports as an answer.
func TestUnusablePartOfEarlierCombinerHasFailed(t *testing.T) {
	for _, test := range []struct {
		response         fetchResponse
		failed, rejected bool
	}{
		{fetchResponse{Executed: true, Status: 200, Signature: "s"}, false, false},
		{fetchResponse{Executed: true, Status: 404}, true, true},
		{fetchResponse{Executed: true, Status: 200}, true, false},
		{fetchResponse{Executed: true, Failed: true, Status: 500}, true, false},
		{fetchResponse{Refusal: leaf.RefusedShed}, false, false},
	} {
		got := test.response.toResponse(newAttempt("b", newQuery()))
		if got.Failed != test.failed || got.Rejected != test.rejected {
			t.Errorf("%+v: got failed %v, rejected %v, want %v, %v", test.response, got.Failed, got.Rejected, test.failed, test.rejected)
		}
	}
}
