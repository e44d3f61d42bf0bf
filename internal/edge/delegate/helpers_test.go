package delegate

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/roster"
)

func newMember(name, zone string, cores float64) roster.Member {
	return roster.Member{Name: name, Zone: zone, Cores: cores, Peer: netip.MustParseAddrPort("127.0.0.1:" + fmt.Sprint(1000+len(name)+int(name[len(name)-1])))}
}

// fakeClock is set by the test.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

// fakePeers responds to calls by the executor's address.
type fakePeers struct {
	mutex   sync.Mutex
	status  executors.Status
	execute map[netip.AddrPort]func(ctx context.Context, request *executeRequest) (executeResponse, error)
	calls   []netip.AddrPort
}

func (f *fakePeers) Call(ctx context.Context, to netip.AddrPort, method string, request, response any) error {
	if method == methodStatus {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		*response.(*executors.Status) = f.status
		return nil
	}
	f.mutex.Lock()
	f.calls = append(f.calls, to)
	run := f.execute[to]
	f.mutex.Unlock()
	answer, err := run(ctx, request.(*executeRequest))
	*response.(*executeResponse) = answer
	return err
}

const version = 7

var terms = executors.Terms{Version: version, Fresh: true}

// testHarness is a Client that is connected to two executors.
type testHarness struct {
	*testing.T
	client *Client
	clock  *fakeClock
	peers  *fakePeers
	near   roster.Member
	far    roster.Member
}

func newTestHarness(t *testing.T) *testHarness {
	t.Helper()
	h := &testHarness{
		T: t, clock: &fakeClock{now: time.Second}, near: newMember("large-1", "a", 0.8), far: newMember("large-2", "b", 0.8),
		peers: &fakePeers{
			status:  executors.Status{Version: version, Accepting: true, Fresh: true},
			execute: make(map[netip.AddrPort]func(context.Context, *executeRequest) (executeResponse, error)),
		},
	}
	self := newMember("small-1", "a", 0.2)
	h.client = New(executors.DefaultConfig(), self, h.peers, h.clock, prometheus.NewRegistry(), slog.New(slog.DiscardHandler))
	h.client.SetRoles(executors.Assign(self, []roster.Member{h.near, h.far, self}), terms)
	for _, member := range []roster.Member{h.near, h.far} {
		h.peers.execute[member.Peer] = executedBy(member.Name)
	}
	h.sendHeartbeats()
	return h
}

func executedBy(executor string) func(context.Context, *executeRequest) (executeResponse, error) {
	return func(context.Context, *executeRequest) (executeResponse, error) {
		return executeResponse{Fate: forward.FateMerged, Body: []byte(executor)}, nil
	}
}

// sendHeartbeats sends one heartbeat to each executor.
func (h *testHarness) sendHeartbeats() {
	for _, executor := range h.client.dueHeartbeats() {
		h.client.sendHeartbeat(context.Background(), executor)
	}
}

func (h *testHarness) execute() (forward.Answer, bool) {
	return h.client.Execute(context.Background(), terms, &forward.Request{ID: "x", ClientTimeout: time.Second})
}

// wantExecutor checks that the named executor answers a request, or none if the name is empty.
func (h *testHarness) wantExecutor(name string) {
	h.Helper()
	answer, done := h.execute()
	if done != (name != "") || string(answer.Body) != name || answer.Executor != name {
		h.Errorf("executed by %q (done %v), want %q", answer.Executor, done, name)
	}
}
