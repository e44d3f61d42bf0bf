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
	r := newTestRig(t, leavesAnswering(1))
	singleLeaf := newQuery()
	singleLeaf.TopK = 0
	for name, attempt := range map[string]scatter.Attempt[*forward.Request]{
		"own zone":                 newAttempt("a", newQuery()),
		"a zone without combiners": newAttempt("c", newQuery()),
		"a request of one leaf":    newAttempt("b", singleLeaf),
	} {
		before := r.direct.count()
		if _, err := r.execute(attempt); err != nil || r.direct.count() != before+1 || r.combined.count() != 0 {
			t.Errorf("%s: error %v, %d sent directly, want 1 and none by the combiner", name, err, r.direct.count()-before)
		}
	}
}

// TestCombinerLoss checks that an attempt is ended when the combiner that runs it is lost. The
// attempt may have run, and the failure is not attributed to the leaf. Later attempts go directly.
func TestCombinerLoss(t *testing.T) {
	taken := make(chan struct{})
	r := newTestRig(t, &fakeLeaves{run: func(ctx context.Context, _ scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		close(taken)
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	ended := make(chan error)
	go func() {
		_, err := r.execute(newAttempt("b", newQuery()))
		ended <- err
	}()
	<-taken
	r.closeServer()
	var transport *leaf.TransportError
	if err := <-ended; !errors.As(err, &transport) || !transport.Sent || !transport.OnTheWay {
		t.Fatalf("attempt ended with %v, want a TransportError with Sent and OnTheWay", err)
	}
	if r.direct.count() != 0 {
		t.Error("the attempt was also sent directly, want it sent once")
	}
	if _, err := r.execute(newAttempt("b", newQuery())); err != nil || r.direct.count() != 1 {
		t.Errorf("next attempt: error %v, %d sent directly, want 1", err, r.direct.count())
	}
}

// TestStoppingCombinerFinishesInFlightAttempt checks that a stopping combiner refuses a new
// attempt, which then goes directly, while it completes an earlier one.
func TestStoppingCombinerFinishesInFlightAttempt(t *testing.T) {
	taken, release := make(chan struct{}), make(chan struct{})
	var held atomic.Bool
	r := newTestRig(t, &fakeLeaves{run: func(context.Context, scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		if held.CompareAndSwap(false, true) {
			close(taken)
			<-release
		}
		return newPart(9), nil
	}})
	ended := make(chan error)
	go func() {
		_, err := r.execute(newAttempt("b", newQuery()))
		ended <- err
	}()
	<-taken
	stopped := make(chan struct{})
	go func() {
		_ = r.server.Close(context.Background())
		close(stopped)
	}()
	for r.direct.count() == 0 {
		if _, err := r.execute(newAttempt("b", newQuery())); err != nil {
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
	r := newTestRig(t, &fakeLeaves{run: func(ctx context.Context, _ scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
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
	_, err := r.client.Execute(ctx, newAttempt("b", newQuery()))
	var transport *leaf.TransportError
	if !errors.As(err, &transport) || transport.OnTheWay {
		t.Errorf("attempt ended with %v, want a TransportError without OnTheWay", err)
	}
	select {
	case <-freed:
	case <-time.After(testTimeout):
		t.Fatal("the attempt at the leaf was not cancelled")
	}
	r.await("a connected combiner", func() bool { return r.client.combiners.Choose("b") != nil })
}

// TestUnknownSessionFallsBackToDirect checks that an attempt is sent directly, once, if the
// combiner does not know its query.
func TestUnknownSessionFallsBackToDirect(t *testing.T) {
	r := newTestRig(t, leavesAnswering(1))
	query := newQuery()
	r.client.mutex.Lock()
	combiner := r.client.combiners.Choose("b")
	r.client.sessions[sessionKey{query, "b"}] = &clientSession{number: 77, combiner: combiner, inFlight: 1}
	r.client.mutex.Unlock()
	if _, err := r.execute(newAttempt("b", query)); err != nil {
		t.Fatal(err)
	}
	if r.direct.count() != 1 || r.combined.count() != 0 {
		t.Errorf("%d sent directly, %d by the combiner, want 1 and 0", r.direct.count(), r.combined.count())
	}
}

// TestCombinerRefusesLeavingLeaf checks that a combiner does not send an attempt to a leaf that it
// knows to be leaving.
func TestCombinerRefusesLeavingLeaf(t *testing.T) {
	r := newTestRig(t, leavesAnswering(1))
	r.leaving.Store(true)
	if _, err := r.execute(newAttempt("b", newQuery())); err != nil || r.direct.count() != 1 || r.combined.count() != 0 {
		t.Errorf("error %v, %d sent directly, %d by the combiner, want 1 and 0", err, r.direct.count(), r.combined.count())
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
