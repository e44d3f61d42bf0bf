package scatter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testShards   = 4
	testReplicas = 2
)

var (
	errDialRefused = errors.New("connection refused")
	errLost        = errors.New("connection lost")
	repeatable     = catalog.Class{Name: "check", Priority: 1, Deadline: time.Second, Coverage: 1, Repeatable: true, HedgePercentile: 0.9, ExtraLoad: 0.5}
	nonRepeatable  = catalog.Class{Name: "file", Priority: 1, Deadline: time.Second, Coverage: 1}
)

// faultyLeaves is a StatementExecutor that logs executions and injects refused dials, refusals by
// the leaf and lost replies.
type faultyLeaves struct {
	mutex    sync.Mutex
	random   *rand.Rand
	executed map[string][]int // by request ID: the shard of each execution
}

func newFaultyLeaves(seed uint64) *faultyLeaves {
	return &faultyLeaves{random: rand.New(rand.NewPCG(seed, 1)), executed: make(map[string][]int)}
}

func (f *faultyLeaves) drawFault() (kind int, delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.IntN(20), time.Duration(f.random.IntN(8)) * time.Millisecond
}

func (f *faultyLeaves) record(request leaf.ExecuteRequest) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.executed[request.RequestID] = append(f.executed[request.RequestID], request.Shard)
}

func (f *faultyLeaves) Execute(ctx context.Context, address netip.AddrPort, request leaf.ExecuteRequest) (*leaf.ExecuteResponse, error) {
	kind, delay := f.drawFault()
	response := &leaf.ExecuteResponse{
		RequestID: request.RequestID, AttemptID: request.AttemptID,
		Shard: request.Shard, Snapshot: request.Snapshot, BootID: address.String(),
		Load: leaf.LoadSummary{State: leaf.StateServing, Slots: 2},
	}
	switch kind {
	case 0:
		return nil, &leaf.TransportError{Step: leaf.StepConnect, Peer: address, Sent: false, Err: errDialRefused}
	case 1:
		response.Refusal = leaf.RefusedShed
		return response, nil
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, &leaf.TransportError{Step: leaf.StepReceive, Peer: address, Sent: true, Err: ctx.Err()}
	}
	f.record(request)
	if kind == 2 {
		return nil, &leaf.TransportError{Step: leaf.StepReceive, Peer: address, Sent: true, Err: errLost}
	}
	response.Executed = true
	response.Table = rows.Table{Columns: []string{"request", "shard"}, Rows: []rows.Row{{
		{Kind: rows.Text, Text: request.RequestID}, {Kind: rows.Number, Number: float64(request.Shard)},
	}}}
	return response, nil
}

func testTopology() dispatch.Topology {
	topology := dispatch.Topology{Revision: 1, Partitions: []catalog.Partition{{Epoch: 1, Shards: testShards}}}
	for i := range testShards * testReplicas {
		topology.Leaves = append(topology.Leaves, dispatch.Leaf{
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7101+i)),
			Zone:    "a", BootID: fmt.Sprint(i), Usable: true, Slots: 2,
			Holdings: []leaf.Holding{{Snapshot: catalog.Snapshot{Version: 1, Epoch: 1}, Shards: []int{i % testShards}}},
		})
	}
	return topology
}

func newTestConn(leaves StatementExecutor, guard Guard) *QueryRunner[string, rows.Table] {
	conn := NewQueryRunner(Config[string, rows.Table]{
		Service: "rate-desk", AttemptPrefix: "test", Leaves: Statements{leaves}, Clock: clock.NewMonotonic(),
		Guard: guard, Metrics: NewMetrics(prometheus.NewRegistry()),
	}, dispatch.New(dispatch.DefaultConfig(), rand.New(rand.NewPCG(1, 2))))
	conn.SetTopology(testTopology())
	return conn
}

func allowAlways() error { return nil }

// TestOutcomesMatchExecutions runs concurrent queries on faulty leaves and checks each result
// against the log of executions.
func TestOutcomesMatchExecutions(t *testing.T) {
	leaves := newFaultyLeaves(7)
	conn := newTestConn(leaves, allowAlways)
	const queries = 2000
	results := make([]Result[rows.Table], queries)
	var running sync.WaitGroup
	limiter := make(chan struct{}, 64)
	for i := range queries {
		limiter <- struct{}{}
		running.Go(func() {
			defer func() { <-limiter }()
			results[i] = conn.Execute(context.Background(), testRequest(i))
		})
	}
	running.Wait()
	conn.Close()
	counts := make(map[dispatch.Outcome]int)
	for i, result := range results {
		counts[result.Outcome]++
		checkResult(t, testRequest(i), result, leaves.executed[testRequest(i).RequestID])
	}
	if counts[dispatch.OutcomeAnswered] == 0 {
		t.Fatalf("got no answered query, want some; outcomes: %v", counts)
	}
}

func testRequest(i int) Request[string] {
	request := Request[string]{
		RequestID: fmt.Sprintf("request-%d", i), Class: repeatable, Payload: "select 1",
		Timeout: 200 * time.Millisecond, MinimumCoverage: 1,
	}
	if i%3 == 0 {
		request.Class, request.HasKey, request.KeyHash = nonRepeatable, true, uint64(i)
	}
	return request
}

func checkResult(t *testing.T, request Request[string], result Result[rows.Table], executions []int) {
	t.Helper()
	if result.Outcome == dispatch.OutcomeNotRun && len(executions) > 0 {
		t.Errorf("%s: got executions on shards %v, want none for outcome %s", request.RequestID, executions, result.Outcome)
	}
	if !request.Class.Repeatable && len(executions) > 1 {
		t.Errorf("%s: got %d executions of a non-repeatable request, want at most 1", request.RequestID, len(executions))
	}
	if len(result.Answered)+len(result.Missing) != result.Total {
		t.Errorf("%s: got %d answered and %d missing shards, want a sum of %d",
			request.RequestID, len(result.Answered), len(result.Missing), result.Total)
	}
	for _, part := range result.Parts {
		row := part.Part.Rows[0]
		if row[0].Text != request.RequestID || int(row[1].Number) != part.Shard {
			t.Errorf("got the row of %s shard %v, want %s shard %d", row[0].Text, row[1].Number, request.RequestID, part.Shard)
		}
	}
}

// TestGuardUpdatesTopologyBeforeSend simulates a process that was frozen between the decision and
// the send while its leaves were retired: the guard installs the newer topology, and no leaf
// receives the attempt.
func TestGuardUpdatesTopologyBeforeSend(t *testing.T) {
	leaves := newFaultyLeaves(1)
	var conn *QueryRunner[string, rows.Table]
	conn = newTestConn(leaves, func() error {
		retired := testTopology()
		for i := range retired.Leaves {
			retired.Leaves[i].Usable = false
		}
		conn.SetTopology(retired)
		return nil
	})
	defer conn.Close()
	result := conn.Execute(context.Background(), Request[string]{RequestID: "r", Class: repeatable, Timeout: time.Second, MinimumCoverage: 1})
	if result.Outcome != dispatch.OutcomeNotRun || len(leaves.executed) > 0 {
		t.Errorf("got outcome %s and executions %v, want %s and none", result.Outcome, leaves.executed, dispatch.OutcomeNotRun)
	}
}

// TestGuardErrorPreventsSend simulates a process that was frozen between the decision and the send:
// nothing is sent, and the query is reported as not run.
func TestGuardErrorPreventsSend(t *testing.T) {
	leaves := newFaultyLeaves(1)
	conn := newTestConn(leaves, func() error { return errors.New("not fresh") })
	request := testRequest(0)
	request.Timeout = 50 * time.Millisecond
	result := conn.Execute(context.Background(), request)
	conn.Close()
	if result.Outcome != dispatch.OutcomeNotRun || len(leaves.executed) != 0 {
		t.Fatalf("got outcome %s and executions %v, want %s and none", result.Outcome, leaves.executed, dispatch.OutcomeNotRun)
	}
}

// stuckLeaves is a StatementExecutor that blocks until the attempt is cancelled.
type stuckLeaves struct{ cancelled chan struct{} }

func (s *stuckLeaves) Execute(ctx context.Context, address netip.AddrPort, _ leaf.ExecuteRequest) (*leaf.ExecuteResponse, error) {
	<-ctx.Done()
	s.cancelled <- struct{}{}
	return nil, &leaf.TransportError{Step: leaf.StepReceive, Peer: address, Sent: true, Err: ctx.Err()}
}

func TestContextCancelStopsAttempts(t *testing.T) {
	leaves := &stuckLeaves{cancelled: make(chan struct{}, testShards*testReplicas)}
	conn := newTestConn(leaves, allowAlways)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	result := conn.Execute(ctx, testRequest(1))
	conn.Close()
	if result.Reason != dispatch.ReasonCancelled || len(leaves.cancelled) < testShards {
		t.Fatalf("got reason %s and %d cancelled attempts, want %s and at least %d",
			result.Reason, len(leaves.cancelled), dispatch.ReasonCancelled, testShards)
	}
}

func TestExecuteAfterClose(t *testing.T) {
	conn := newTestConn(newFaultyLeaves(1), allowAlways)
	conn.Close()
	if result := conn.Execute(context.Background(), testRequest(1)); result.Outcome != dispatch.OutcomeNotRun {
		t.Fatalf("got outcome %s, want %s", result.Outcome, dispatch.OutcomeNotRun)
	}
}
