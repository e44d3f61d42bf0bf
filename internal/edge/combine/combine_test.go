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
			t.Errorf("%s: %v, %d sent directly", name, err, r.direct.count()-before)
		}
	}
}

// TestLossOfTheCombiner ends an attempt that the combiner has in hand: it may
// have run, and the leaf is not to blame. The next ones go directly.
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
		t.Fatalf("ended with %v", err)
	}
	if r.direct.count() != 0 {
		t.Error("the attempt was sent twice")
	}
	if _, err := r.execute(newAttempt("b", newQuery())); err != nil || r.direct.count() != 1 {
		t.Errorf("the next attempt: %v, %d sent directly", err, r.direct.count())
	}
}

// TestCombinerThatStopsFinishesWhatItHasInHand refuses a new attempt, which goes
// directly, while an earlier one is answered.
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
		t.Errorf("the attempt in hand: %v", err)
	}
	<-stopped
}

// TestGivingUpFreesTheLeaf ends the attempt at the leaf with that of the caller,
// and does not count the combiner as lost.
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
		t.Errorf("ended with %v", err)
	}
	select {
	case <-freed:
	case <-time.After(testTimeout):
		t.Fatal("the leaf still works")
	}
	r.await("a combiner in touch", func() bool { return r.client.combiners.Choose("b") != nil })
}

// TestUnknownSession sends an attempt directly, once, whose query the combiner
// does not know.
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
		t.Errorf("%d sent directly, %d by the combiner", r.direct.count(), r.combined.count())
	}
}

// TestLeafThatLeaves is not sent an attempt by a combiner that knows of it.
func TestCombinerRefusesLeavingLeaf(t *testing.T) {
	r := newTestRig(t, leavesAnswering(1))
	r.leaving.Store(true)
	if _, err := r.execute(newAttempt("b", newQuery())); err != nil || r.direct.count() != 1 || r.combined.count() != 0 {
		t.Errorf("%v, %d sent directly, %d by the combiner", err, r.direct.count(), r.combined.count())
	}
}

// TestSessionsEnd forgets the queries of other nodes.
func TestSessionsExpire(t *testing.T) {
	c := &combiner{leaves: leavesAnswering(1), sessions: make(map[remoteSessionKey]*session)}
	withQuery := c.session(remoteSessionKey{number: 1}, newQueryHead(newQuery(), time.Microsecond))
	withoutQuery := c.session(remoteSessionKey{number: 2}, nil)
	if withQuery.query == nil || withoutQuery.query != nil {
		t.Fatal("a query is where it does not belong")
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		c.mutex.Lock()
		remaining := len(c.sessions)
		c.mutex.Unlock()
		if remaining == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d sessions are left", remaining)
		}
	}
}
