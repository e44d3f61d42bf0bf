package combine

import (
	"bytes"
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/combiners"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/scatter"
)

// testTimeout bounds the waits of these tests. No test depends on its value.
const testTimeout = 20 * time.Second

const topK = 2

// fakeLeaves runs attempts by a function and records them.
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

// newPart returns a response whose records repeat one byte value each.
func newPart(values ...byte) *scatter.Response[forward.Part] {
	response := &scatter.Response[forward.Part]{Executed: true, Part: forward.Part{Status: 200, Signature: "signed"}}
	for _, value := range values {
		response.Part.Body = append(response.Part.Body, bytes.Repeat([]byte{value}, records.Size)...)
	}
	return response
}

func leavesAnswering(values ...byte) *fakeLeaves {
	return &fakeLeaves{run: func(context.Context, scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		return newPart(values...), nil
	}}
}

// testHarness is a Client in zone a, with a combiner in zone b over loopback.
type testHarness struct {
	*testing.T
	client   *Client
	direct   *fakeLeaves // the leaves as the client reaches them
	combined *fakeLeaves // the leaves as the combiner reaches them
	server   *peer.Server
	leaving  atomic.Bool // the combiner gives no work to the leaf
}

func newTestHarness(t *testing.T, combined *fakeLeaves) *testHarness {
	t.Helper()
	h := &testHarness{T: t, direct: leavesAnswering(9, 8, 7), combined: combined}
	var err error
	h.server, err = peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	Serve(h.server, combined, func(netip.AddrPort) bool { return !h.leaving.Load() })
	h.server.Start()
	caller := peer.NewClient(peer.ClientOptions{}, prometheus.NewRegistry())
	config := combiners.DefaultConfig()
	config.MaxRoundTrip = testTimeout
	config.HeartbeatTimeout = testTimeout
	h.client = New(config, roster.Member{Name: "here", Zone: "a"}, h.direct, caller, clock.NewMonotonic(),
		prometheus.NewRegistry(), slog.New(slog.DiscardHandler))
	h.client.SetMembers([]roster.Member{{Name: "there", Zone: "b", Peer: h.server.Address()}})
	ctx, stop := context.WithCancel(context.Background())
	running := make(chan struct{})
	go func() {
		h.client.Run(ctx)
		close(running)
	}()
	t.Cleanup(func() {
		stop()
		<-running
		_ = caller.Close()
		h.closeServer()
	})
	h.await("a connected combiner", func() bool { return h.client.combiners.Choose("b") != nil })
	return h
}

func (h *testHarness) closeServer() {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.server.Close(canceled) // cancels the calls in progress
}

// await polls a condition under the client's mutex until it holds.
func (h *testHarness) await(what string, condition func() bool) {
	h.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		h.client.mutex.Lock()
		satisfied := condition()
		h.client.mutex.Unlock()
		if satisfied {
			return
		}
	}
	h.Fatalf("timed out waiting for %s", what)
}

func newQuery() *forward.Request {
	return &forward.Request{ID: "q", Method: "GET", Head: []byte("GET /x HTTP/1.1\r\n"), TopK: topK}
}

func newAttempt(zone string, query *forward.Request) scatter.Attempt[*forward.Request] {
	return scatter.Attempt[*forward.Request]{
		Send:      dispatch.Send{Zone: zone, BootID: "i-1", Leaf: netip.MustParseAddrPort("127.0.0.1:9"), Shard: 3},
		RequestID: query.ID, Remaining: testTimeout, Payload: query,
	}
}

func (h *testHarness) execute(attempt scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return h.client.Execute(ctx, attempt)
}
