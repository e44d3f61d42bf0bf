package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
)

func node(name, zone string, cores float64) roster.Member {
	return roster.Member{Name: name, Zone: zone, Cores: cores, Peer: netip.MustParseAddrPort("127.0.0.1:" + fmt.Sprint(1000+len(name)+int(name[len(name)-1])))}
}

// fleet returns large and small nodes, spread over zones.
func fleet(large, small int) []roster.Member {
	zones := []string{"a", "b", "c", "d"}
	var members []roster.Member
	for number := range large {
		members = append(members, node(fmt.Sprintf("large-%d", number), zones[number%4], 0.8))
	}
	for number := range small {
		members = append(members, node(fmt.Sprintf("small-%d", number), zones[number%4], 0.2))
	}
	return members
}

func TestAssign(t *testing.T) {
	for _, test := range []struct {
		name      string
		members   []roster.Member
		self      roster.Member
		role      Role
		executors int
	}{
		{"small among large", fleet(8, 56), node("small-1", "a", 0.2), RoleRelay, 8},
		{"large", fleet(8, 56), node("large-1", "a", 0.8), RoleExecutor, 8},
		{"between", append(fleet(8, 56), node("middle-1", "a", 0.5)), node("middle-1", "a", 0.5), RoleAlone, 8},
		{"all alike", fleet(0, 56), node("small-1", "a", 0.2), RoleAlone, 0},
		{"only one large", fleet(1, 4), node("small-1", "a", 0.2), RoleRelay, 1},
		{"few for many", fleet(2, 100), node("small-1", "a", 0.2), RoleRelay, 2},
		{"none small enough", []roster.Member{node("x-1", "a", 0.8), node("x-2", "a", 0.5)}, node("x-2", "a", 0.5), RoleAlone, 0},
		{"nobody known", nil, node("small-1", "a", 0.2), RoleAlone, 0},
		{"cores not told", []roster.Member{{Name: "x"}, {Name: "y"}}, node("small-1", "a", 0.2), RoleAlone, 0},
	} {
		roles := Assign(test.self, test.members)
		if roles.Self != test.role || len(roles.Executors) != test.executors {
			t.Errorf("%s: role %d, %d executors", test.name, roles.Self, len(roles.Executors))
		}
	}
}

// TestWatchedSpreadOverExecutors keeps in touch with those of the zone, and with
// others, not all nodes with the same.
func TestWatchedSpreadOverExecutors(t *testing.T) {
	members := fleet(8, 56)
	executors := Assign(members[10], members).Executors
	asked := make(map[string]int)
	for _, self := range members[8:] {
		b := board{config: DefaultConfig()}
		b.set(0, self, executors)
		chosen := b.targets
		if len(chosen) != watchedExecutors || chosen[0].Zone != self.Zone || chosen[1].Zone != self.Zone {
			t.Fatalf("%s watches %+v", self.Name, chosen)
		}
		asked[chosen[2].Name]++
	}
	if len(asked) < 6 {
		t.Errorf("executors of other zones: %v", asked)
	}
}

// fakeClock is set by a test.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

// fakePeers answers calls by the executor's address.
type fakePeers struct {
	mutex   sync.Mutex
	status  Status
	execute map[netip.AddrPort]func(ctx context.Context, request *executeRequest) (executeResponse, error)
	calls   []netip.AddrPort
}

func (f *fakePeers) Call(ctx context.Context, to netip.AddrPort, method string, request, response any) error {
	if method == methodStatus {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		*response.(*Status) = f.status
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

var terms = Terms{Version: version, Fresh: true}

// rig is a Relay in touch with two executors.
type rig struct {
	*testing.T
	relay *Relay
	clock *fakeClock
	peers *fakePeers
	near  roster.Member
	far   roster.Member
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{
		T: t, clock: &fakeClock{now: time.Second}, near: node("large-1", "a", 0.8), far: node("large-2", "b", 0.8),
		peers: &fakePeers{
			status:  Status{Version: version, Accepting: true, Fresh: true},
			execute: make(map[netip.AddrPort]func(context.Context, *executeRequest) (executeResponse, error)),
		},
	}
	self := node("small-1", "a", 0.2)
	r.relay = New(DefaultConfig(), self, r.peers, r.clock, prometheus.NewRegistry(), slog.New(slog.DiscardHandler))
	r.relay.SetRoles(Assign(self, []roster.Member{r.near, r.far, self}), terms)
	for _, member := range []roster.Member{r.near, r.far} {
		r.peers.execute[member.Peer] = answered(member.Name)
	}
	r.beat()
	return r
}

func answered(by string) func(context.Context, *executeRequest) (executeResponse, error) {
	return func(context.Context, *executeRequest) (executeResponse, error) {
		return executeResponse{Fate: forward.FateMerged, Body: []byte(by)}, nil
	}
}

// beat asks all executors once.
func (r *rig) beat() {
	for _, one := range r.relay.due() {
		r.relay.ask(context.Background(), one)
	}
}

func (r *rig) execute() (forward.Answer, bool) {
	return r.relay.Execute(context.Background(), terms, &forward.Request{ID: "x", ClientTimeout: time.Second})
}

// wantExecutor expects an answer by a node; empty for none.
func (r *rig) wantExecutor(name string) {
	r.Helper()
	answer, done := r.execute()
	if done != (name != "") || string(answer.Body) != name || answer.Executor != name {
		r.Errorf("executed by %q (%v), want %q", answer.Executor, done, name)
	}
}

func TestNearExecutorIsPreferred(t *testing.T) {
	r := newRig(t)
	r.wantExecutor("large-1")
}

func TestNoExecutorInTouch(t *testing.T) {
	r := newRig(t)
	r.clock.now += DefaultConfig().HeartbeatTimeout + 1
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
		_, done := r.relay.Execute(context.Background(), cordoned, &forward.Request{ID: "x"})
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
	answer, done := r.relay.Execute(context.Background(), Terms{Version: version}, &forward.Request{ID: "x"})
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
	r.clock.now += DefaultConfig().HeartbeatTimeout + 1
	r.relay.due()
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
	if _, done := r.relay.Execute(ctx, terms, &forward.Request{ID: "x"}); !done || !errors.Is(ctx.Err(), context.Canceled) {
		t.Error("the request of a client that left is run again")
	}
	r.peers.execute[r.near.Peer] = answered("large-1")
	r.wantExecutor("large-1")
}

// TestWayToTheExecutorCounts for the objective of a request.
func TestWayToTheExecutorCounts(t *testing.T) {
	r := newRig(t)
	r.relay.board.targets[0].RoundTrip = 5 * time.Millisecond
	var away time.Duration
	r.peers.execute[r.near.Peer] = func(_ context.Context, request *executeRequest) (executeResponse, error) {
		away = request.Away
		return executeResponse{Fate: forward.FateMerged, Body: []byte("large-1")}, nil
	}
	r.wantExecutor("large-1")
	if away != 5*time.Millisecond+handling {
		t.Errorf("away for %v", away)
	}
}

// TestSlowExecutorIsPassedOver by its mean latency.
func TestSlowExecutorIsPassedOver(t *testing.T) {
	r := newRig(t)
	r.relay.board.targets[0].near, r.relay.board.targets[1].near = true, true
	took := map[string]time.Duration{"large-1": 300 * time.Millisecond, "large-2": 100 * time.Millisecond}
	for _, member := range []roster.Member{r.near, r.far} {
		r.peers.execute[member.Peer] = func(context.Context, *executeRequest) (executeResponse, error) {
			r.clock.now += took[member.Name]
			return executeResponse{Fate: forward.FateMerged, Body: []byte(member.Name)}, nil
		}
	}
	for _, one := range r.relay.board.targets {
		one.ended(took[one.Name])
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
		r.relay.SetRoles(Roles{}, terms)
		r.relay.due()
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
	r.relay.SetRoles(Roles{}, terms)
	r.wantExecutor("")
	r.relay.SetRoles(Roles{Self: RoleRelay, Executors: []roster.Member{r.far}}, terms)
	r.wantExecutor("")
	r.beat()
	r.wantExecutor("large-2")
}
