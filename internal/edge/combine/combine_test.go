package combine

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/scatter"
)

// patient bounds the waits of these tests; none of them measures a time.
const patient = 20 * time.Second

const topK = 2

// fakeLeaves runs attempts by a function and keeps them.
type fakeLeaves struct {
	run func(ctx context.Context, attempt scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error)

	mutex    sync.Mutex
	attempts []scatter.Attempt[*forward.Request]
}

func (f *fakeLeaves) Execute(ctx context.Context, attempt scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
	f.mutex.Lock()
	f.attempts = append(f.attempts, attempt)
	f.mutex.Unlock()
	return f.run(ctx, attempt)
}

func (f *fakeLeaves) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.attempts)
}

// part returns a part of records that are one value each.
func part(values ...byte) *scatter.Response[forward.Part] {
	response := &scatter.Response[forward.Part]{Executed: true, Part: forward.Part{Status: 200, Signature: "signed"}}
	for _, value := range values {
		response.Part.Body = append(response.Part.Body, bytes.Repeat([]byte{value}, records.Size)...)
	}
	return response
}

func answers(values ...byte) *fakeLeaves {
	return &fakeLeaves{run: func(context.Context, scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		return part(values...), nil
	}}
}

// rig is a Client in zone a, with a combiner in zone b over loopback.
type rig struct {
	*testing.T
	client   *Client
	direct   *fakeLeaves // as the client reaches them
	combined *fakeLeaves // as the combiner reaches them
	server   *peer.Server
	leaving  atomic.Bool // whether the combiner gives the leaf no work
}

func newRig(t *testing.T, combined *fakeLeaves) *rig {
	t.Helper()
	r := &rig{T: t, direct: answers(9, 8, 7), combined: combined}
	var err error
	r.server, err = peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	Serve(r.server, combined, func(netip.AddrPort) bool { return !r.leaving.Load() })
	r.server.Serve()
	caller := peer.NewClient(peer.ClientOptions{}, prometheus.NewRegistry())
	config := DefaultConfig()
	config.MaxRoundTrip = patient
	config.HeartbeatTimeout = patient
	r.client = New(config, roster.Member{Name: "here", Zone: "a"}, r.direct, caller, clock.NewMonotonic(),
		prometheus.NewRegistry(), slog.New(slog.DiscardHandler))
	r.client.SetMembers([]roster.Member{{Name: "there", Zone: "b", Peer: r.server.Address()}})
	ctx, stop := context.WithCancel(context.Background())
	running := make(chan struct{})
	go func() {
		r.client.Run(ctx)
		close(running)
	}()
	t.Cleanup(func() {
		stop()
		<-running
		_ = caller.Close()
		r.closeServer()
	})
	r.await("a combiner in touch", func() bool { return r.client.board.pick("b") != nil })
	return r
}

func (r *rig) closeServer() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = r.server.Close(ended) // what runs is cut off
}

// await waits for a condition under the client's mutex.
func (r *rig) await(what string, holds func() bool) {
	r.Helper()
	for deadline := time.Now().Add(patient); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		r.client.mutex.Lock()
		held := holds()
		r.client.mutex.Unlock()
		if held {
			return
		}
	}
	r.Fatalf("never: %s", what)
}

func query() *forward.Request {
	return &forward.Request{ID: "q", Method: "GET", Head: []byte("GET /x HTTP/1.1\r\n"), TopK: topK}
}

func attemptAt(zone string, asked *forward.Request) scatter.Attempt[*forward.Request] {
	return scatter.Attempt[*forward.Request]{
		Send:      dispatch.Send{Zone: zone, BootID: "i-1", Leaf: netip.MustParseAddrPort("127.0.0.1:9"), Shard: 3},
		RequestID: asked.ID, Remaining: patient, Payload: asked,
	}
}

func (r *rig) execute(attempt scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
	ctx, cancel := context.WithTimeout(context.Background(), patient)
	defer cancel()
	return r.client.Execute(ctx, attempt)
}

func TestPartsOfAnotherZoneAreThinnedOut(t *testing.T) {
	r := newRig(t, answers(5, 1, 4, 3))
	response, err := r.execute(attemptAt("b", query()))
	if err != nil {
		t.Fatal(err)
	}
	if want := part(5, 4); !bytes.Equal(response.Part.Body, want.Part.Body) || response.Part.Signature != "signed" {
		t.Errorf("part %+v", response.Part)
	}
	if want := part(3); !bytes.Equal(response.Part.Dropped, want.Part.Body) {
		t.Errorf("dropped %x", response.Part.Dropped)
	}
	for name, test := range map[string]struct{ floor, want []byte }{
		"all":           {nil, part(3, 1).Part.Body},
		"not below two": {part(2).Part.Body, part(3).Part.Body},
	} {
		if rest, err := response.Part.Rest(t.Context(), test.floor); err != nil || !bytes.Equal(rest, test.want) {
			t.Errorf("the rest, %s: %x, %v", name, rest, err)
		}
	}
	if response.Shard != 3 || !response.Executed {
		t.Errorf("response %+v", response)
	}
	sent := r.combined.attempts[0]
	if sent.BootID != "i-1" || string(sent.Payload.Head) != "GET /x HTTP/1.1\r\n" || sent.Remaining > patient {
		t.Errorf("the leaf was asked %+v", sent)
	}
	if r.direct.count() != 0 || r.combined.count() != 1 {
		t.Errorf("%d attempts sent directly, %d by the combiner", r.direct.count(), r.combined.count())
	}
}

// TestQueriesDoNotThinEachOther runs two queries: only parts of one query count
// against each other.
func TestQueriesDoNotThinEachOther(t *testing.T) {
	value := byte(8)
	r := newRig(t, &fakeLeaves{run: func(context.Context, scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		value--
		return part(value, value), nil
	}})
	for range 3 {
		response, err := r.execute(attemptAt("b", query()))
		if err != nil || len(response.Part.Body) != 2*records.Size || response.Part.Dropped != nil {
			t.Fatalf("%+v, %v", response, err)
		}
	}
}

// TestPartsOfOneQueryThinEachOther keeps the session open by a first attempt
// that hangs until the others are done.
func TestPartsOfOneQueryThinEachOther(t *testing.T) {
	hung, release := make(chan struct{}), make(chan struct{})
	var order sync.Once
	r := newRig(t, &fakeLeaves{run: func(_ context.Context, attempt scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		first := false
		order.Do(func() { first = true })
		if first {
			close(hung)
			<-release
			return part(1), nil
		}
		return part(9, 8), nil
	}})
	asked := query()
	last := make(chan *scatter.Response[forward.Part])
	go func() {
		response, _ := r.execute(attemptAt("b", asked))
		last <- response
	}()
	<-hung
	if response, err := r.execute(attemptAt("b", asked)); err != nil || len(response.Part.Body) != 2*records.Size {
		t.Fatalf("%+v, %v", response, err)
	}
	close(release)
	if response := <-last; response == nil || len(response.Part.Body) != 0 || len(response.Part.Dropped) != records.Size {
		t.Errorf("the part that cannot count came back: %+v", response)
	}
}

func TestWhatGoesDirectly(t *testing.T) {
	r := newRig(t, answers(1))
	whole := query()
	whole.TopK = 0
	for name, attempt := range map[string]scatter.Attempt[*forward.Request]{
		"own zone":                 attemptAt("a", query()),
		"a zone without combiners": attemptAt("c", query()),
		"a request of one leaf":    attemptAt("b", whole),
	} {
		before := r.direct.count()
		if _, err := r.execute(attempt); err != nil || r.direct.count() != before+1 || r.combined.count() != 0 {
			t.Errorf("%s: %v, %d sent directly", name, err, r.direct.count()-before)
		}
	}
}

// TestLossOfTheCombiner ends an attempt that the combiner has in hand: it may
// have run, and the leaf is not to blame. The next ones go directly.
func TestLossOfTheCombiner(t *testing.T) {
	taken := make(chan struct{})
	r := newRig(t, &fakeLeaves{run: func(ctx context.Context, _ scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		close(taken)
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	ended := make(chan error)
	go func() {
		_, err := r.execute(attemptAt("b", query()))
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
	if _, err := r.execute(attemptAt("b", query())); err != nil || r.direct.count() != 1 {
		t.Errorf("the next attempt: %v, %d sent directly", err, r.direct.count())
	}
}

// TestCombinerThatStopsFinishesWhatItHasInHand refuses a new attempt, which goes
// directly, while an earlier one is answered.
func TestCombinerThatStopsFinishesWhatItHasInHand(t *testing.T) {
	taken, release := make(chan struct{}), make(chan struct{})
	var held atomic.Bool
	r := newRig(t, &fakeLeaves{run: func(context.Context, scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		if held.CompareAndSwap(false, true) {
			close(taken)
			<-release
		}
		return part(9), nil
	}})
	ended := make(chan error)
	go func() {
		_, err := r.execute(attemptAt("b", query()))
		ended <- err
	}()
	<-taken
	stopped := make(chan struct{})
	go func() {
		_ = r.server.Close(context.Background())
		close(stopped)
	}()
	for r.direct.count() == 0 {
		if _, err := r.execute(attemptAt("b", query())); err != nil {
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
func TestGivingUpFreesTheLeaf(t *testing.T) {
	taken, freed := make(chan struct{}), make(chan struct{})
	r := newRig(t, &fakeLeaves{run: func(ctx context.Context, _ scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
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
	_, err := r.client.Execute(ctx, attemptAt("b", query()))
	var transport *leaf.TransportError
	if !errors.As(err, &transport) || transport.OnTheWay {
		t.Errorf("ended with %v", err)
	}
	select {
	case <-freed:
	case <-time.After(patient):
		t.Fatal("the leaf still works")
	}
	r.await("a combiner in touch", func() bool { return r.client.board.pick("b") != nil })
}

// TestRecordsBelowTheFloorStay leaves out what the asking node takes to be too
// small, and tells when the rest of a part is not to be had any more.
func TestRecordsBelowTheFloorStay(t *testing.T) {
	r := newRig(t, answers(5, 1))
	asked := query()
	asked.Floor = part(4).Part.Body
	response, err := r.execute(attemptAt("b", asked))
	if err != nil || !bytes.Equal(response.Part.Body, part(5).Part.Body) || !bytes.Equal(response.Part.Dropped, part(1).Part.Body) {
		t.Fatalf("%+v, %v", response, err)
	}
	r.closeServer()
	if _, err := response.Part.Rest(t.Context(), nil); err == nil {
		t.Error("a lost combiner gave the rest")
	}
}

// TestUnknownSession sends an attempt directly, once, whose query the combiner
// does not know.
func TestUnknownSession(t *testing.T) {
	r := newRig(t, answers(1))
	asked := query()
	r.client.mutex.Lock()
	via := r.client.board.pick("b")
	r.client.sessions[sessionOf{asked, "b"}] = &outgoing{number: 77, via: via, open: 1}
	r.client.mutex.Unlock()
	if _, err := r.execute(attemptAt("b", asked)); err != nil {
		t.Fatal(err)
	}
	if r.direct.count() != 1 || r.combined.count() != 0 {
		t.Errorf("%d sent directly, %d by the combiner", r.direct.count(), r.combined.count())
	}
}

// TestLeafThatLeaves is not sent an attempt by a combiner that knows of it.
func TestLeafThatLeaves(t *testing.T) {
	r := newRig(t, answers(1))
	r.leaving.Store(true)
	if _, err := r.execute(attemptAt("b", query())); err != nil || r.direct.count() != 1 || r.combined.count() != 0 {
		t.Errorf("%v, %d sent directly, %d by the combiner", err, r.direct.count(), r.combined.count())
	}
}

// TestSessionsEnd forgets the queries of other nodes.
func TestSessionsEnd(t *testing.T) {
	c := &combiner{leaves: answers(1), sessions: make(map[sessionKey]*session)}
	known := c.session(sessionKey{number: 1}, headOf(query(), time.Microsecond))
	unknown := c.session(sessionKey{number: 2}, nil)
	if known.query == nil || unknown.query != nil {
		t.Fatal("a query is where it does not belong")
	}
	for deadline := time.Now().Add(patient); ; time.Sleep(time.Millisecond) {
		c.mutex.Lock()
		left := len(c.sessions)
		c.mutex.Unlock()
		if left == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d sessions are left", left)
		}
	}
}
