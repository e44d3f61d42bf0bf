package leaf

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/micaplank/micaplank/internal/catalog"
	protocol "github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
)

const longServiceTime = Duration(time.Hour)

// eventually polls until the condition holds and fails the test after 10 s.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for ctx := testContext(t); !condition(); time.Sleep(time.Millisecond) {
		if ctx.Err() != nil {
			t.Fatalf("timed out waiting for: %s", description)
		}
	}
}

// backgroundCall is a call that runs in its own goroutine.
type backgroundCall struct {
	cancel   context.CancelFunc
	done     chan struct{}
	response *protocol.ExecuteResponse
	err      error
}

func executeInBackground(t *testing.T, server *Server, client *protocol.Client, request protocol.ExecuteRequest) *backgroundCall {
	ctx, cancel := context.WithCancel(testContext(t))
	call := &backgroundCall{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(call.done)
		call.response, call.err = client.Execute(ctx, server.Address(), request)
	}()
	return call
}

func awaitOccupancy(t *testing.T, server *Server, busy, queue int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d busy and %d queued", busy, queue), func() bool {
		gotBusy, gotQueue := server.slots.occupancy()
		return gotBusy == busy && gotQueue == queue
	})
}

func TestCancellationFreesSlot(t *testing.T) {
	config := testConfig()
	config.Slots, config.Queue = 1, 1
	config.Select.Median = longServiceTime
	server, client := startTestLeaf(t, config)
	running := executeInBackground(t, server, client, testRequest("running", "select * from rate-desk"))
	awaitOccupancy(t, server, 1, 0)
	queued := executeInBackground(t, server, client, testRequest("queued", "select * from rate-desk"))
	awaitOccupancy(t, server, 1, 1)
	if shed := execute(t, server, client, testRequest("shed", "select * from rate-desk")); shed.Refusal != protocol.RefusedShed {
		t.Errorf("request beyond the queue: got refusal %q, want %q", shed.Refusal, protocol.RefusedShed)
	}
	queued.cancel()
	awaitOccupancy(t, server, 1, 0)
	running.cancel()
	awaitOccupancy(t, server, 0, 0)
	for id, expected := range map[string]Outcome{
		"running": OutcomeCancelledRunning, "queued": OutcomeCancelledQueued, "shed": OutcomeRefused,
	} {
		eventually(t, fmt.Sprintf("execution log of %q is [%s]", id, expected), func() bool {
			return slices.Equal(loggedOutcomes(server, id), []Outcome{expected})
		})
	}
}

func TestDrainCompletesAcceptedRequestsAndRefusesNewOnes(t *testing.T) {
	config := testConfig()
	config.Slots = 1
	config.Select.Median = Duration(200 * time.Millisecond)
	server, client := startTestLeaf(t, config)
	running := executeInBackground(t, server, client, testRequest("running", "select * from rate-desk"))
	awaitOccupancy(t, server, 1, 0)
	queued := executeInBackground(t, server, client, testRequest("queued", "select * from rate-desk"))
	awaitOccupancy(t, server, 1, 1)
	drain := true
	server.Control(ControlRequest{Faults: server.Faults(), Drain: &drain})
	refused := execute(t, server, client, testRequest("new", "select * from rate-desk"))
	if refused.Refusal != protocol.RefusedDraining || refused.Load.State != protocol.StateDraining {
		t.Errorf("new request while draining: got refusal %q in state %q, want %q in state %q",
			refused.Refusal, refused.Load.State, protocol.RefusedDraining, protocol.StateDraining)
	}
	if err := server.Drain(testContext(t)); err != nil {
		t.Fatal(err)
	}
	for _, call := range []*backgroundCall{running, queued} {
		if <-call.done; call.err != nil || !call.response.Executed {
			t.Errorf("accepted request: got response %+v, error %v, want executed", call.response, call.err)
		}
	}
}

func TestRefusalReasons(t *testing.T) {
	server, client := startTestLeaf(t, testConfig())
	change := func(alter func(*protocol.ExecuteRequest)) protocol.ExecuteRequest {
		request := testRequest("r", "select * from rate-desk")
		alter(&request)
		return request
	}
	for expected, request := range map[protocol.Refusal]protocol.ExecuteRequest{
		protocol.RefusedLate:     change(func(r *protocol.ExecuteRequest) { r.RemainingMilliseconds = 0 }),
		protocol.RefusedSnapshot: change(func(r *protocol.ExecuteRequest) { r.Snapshot.Version = 2 }),
		protocol.RefusedMoved:    change(func(r *protocol.ExecuteRequest) { r.Shard = 1 }),
		protocol.RefusedInvalid:  change(func(r *protocol.ExecuteRequest) { r.Statement = "select fee from rate-desk" }),
	} {
		if response := execute(t, server, client, request); response.Refusal != expected || response.Executed {
			t.Errorf("want refusal %q, got %q (%s)", expected, response.Refusal, response.Detail)
		}
	}
	config := testConfig()
	config.ColdFor = longServiceTime
	cold, client := startTestLeaf(t, config)
	if response := execute(t, cold, client, testRequest("r", "select * from rate-desk")); response.Refusal != protocol.RefusedCold {
		t.Errorf("cold leaf: got refusal %q, want %q", response.Refusal, protocol.RefusedCold)
	}
}

// TestClientRejectsFaultyReplies injects lost, truncated and crossed replies. The client must
// return a transport error for each instead of a wrong result.
func TestClientRejectsFaultyReplies(t *testing.T) {
	server, client := startTestLeaf(t, testConfig())
	inject := func(faults Faults) {
		faults.SlowFactor, faults.ReportScale = 1, 1
		server.Control(ControlRequest{Faults: faults})
	}
	for name, test := range map[string]struct {
		faults   Faults
		calls    int
		expected error
	}{
		"truncated": {faults: Faults{Truncate: true}, calls: 1, expected: protocol.ErrTruncatedReply},
		"crossed":   {faults: Faults{Cross: true}, calls: 2, expected: protocol.ErrCrossedReply},
		"lost":      {faults: Faults{LoseReply: 1}, calls: 1},
	} {
		inject(test.faults)
		var err error
		for i := range test.calls {
			request := testRequest(fmt.Sprintf("%s %d", name, i), "select * from rate-desk")
			_, err = client.Execute(testContext(t), server.Address(), request)
		}
		var transportError *protocol.TransportError
		if !errors.As(err, &transportError) || !transportError.Sent || (test.expected != nil && !errors.Is(err, test.expected)) {
			t.Errorf("%s reply: got error %v, want a transport error after sending (cause %v)", name, err, test.expected)
		}
		last := fmt.Sprintf("%s %d", name, test.calls-1)
		if got := loggedOutcomes(server, last); !slices.Equal(got, []Outcome{OutcomeExecuted}) {
			t.Errorf("%s reply: got logged outcomes %v, want [%s]", name, got, OutcomeExecuted)
		}
	}
	inject(Faults{})
	eventually(t, "a complete reply after the faults are cleared", func() bool {
		_, err := client.Execute(testContext(t), server.Address(), testRequest("after", "select * from rate-desk"))
		return err == nil
	})
}

// TestConcurrentCallersGetOwnRows runs 16 callers that share connections, with slow replies and
// cancelled calls. A caller must never receive the rows of another request.
func TestConcurrentCallersGetOwnRows(t *testing.T) {
	config := testConfig()
	config.Queue = 1000
	config.Select = ServiceTime{Median: Duration(200 * time.Microsecond), Sigma: 1}
	server, client := startTestLeaf(t, config)
	callers := new(errgroup.Group)
	for caller := range 16 {
		callers.Go(func() error {
			for i := range 40 {
				if err := readQuote(testContext(t), server, client, caller, i); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := callers.Wait(); err != nil {
		t.Fatal(err)
	}
	awaitOccupancy(t, server, 0, 0)
}

// readQuote reads one quote. Every fourth call is cancelled 300 µs after its start.
func readQuote(ctx context.Context, server *Server, client *protocol.Client, caller, i int) error {
	quote := fmt.Sprintf("Q-%d", 40*caller+i)
	giveUp := i%4 == 3
	if giveUp {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 300*time.Microsecond)
		defer cancel()
	}
	request := testRequest(quote, fmt.Sprintf("select quote from rate-desk where quote = '%s'", quote))
	response, err := client.Execute(ctx, server.Address(), request)
	if err != nil {
		if giveUp {
			return nil
		}
		return err
	}
	for _, row := range response.Table.Rows {
		if row[0] != rows.NewText(quote) {
			return fmt.Errorf("select quote %s: got row %v", quote, row)
		}
	}
	return nil
}

func TestVersionsAndEpochsChangeWhileServing(t *testing.T) {
	config := testConfig()
	config.Select.Median = Duration(100 * time.Millisecond)
	server, client := startTestLeaf(t, config)
	running := executeInBackground(t, server, client, testRequest("running", "select * from rate-desk"))
	awaitOccupancy(t, server, 1, 0)
	split := &Partition{Epoch: 2, Shards: 2, Hold: []int{1}}
	server.Control(ControlRequest{Faults: server.Faults(), AddVersion: 2, DropVersion: 1, AddPartition: split})
	if <-running.done; running.err != nil || running.response.Table.Rows[0][5] != rows.NewNumber(1) {
		t.Fatalf("request during the change: got response %+v, error %v, want rows of version 1", running.response, running.err)
	}
	for snapshot, expected := range map[catalog.Snapshot]protocol.Refusal{
		{Version: 1, Epoch: 1}: protocol.RefusedSnapshot,
		{Version: 2, Epoch: 1}: protocol.RefusedNone,
		{Version: 2, Epoch: 2}: protocol.RefusedMoved,
	} {
		request := testRequest("r", "select * from rate-desk")
		request.Snapshot = snapshot
		if response := execute(t, server, client, request); response.Refusal != expected {
			t.Errorf("snapshot %v: want refusal %q, got %q", snapshot, expected, response.Refusal)
		}
	}
	report, err := client.Load(testContext(t), server.Address())
	if err != nil || len(report.Holdings) != 2 || report.BootID != server.BootID() {
		t.Errorf("load: got report %+v, error %v, want 2 holdings and boot ID %s", report, err, server.BootID())
	}
}

func TestInsertAppearsInLaterVersions(t *testing.T) {
	server, client := startTestLeaf(t, testConfig())
	insert := testRequest("insert", "insert into rate-desk (quote, lane, price) values ('Q-new', 'OTR-SPK', 4100)")
	if response := execute(t, server, client, insert); !response.Executed {
		t.Fatalf("insert: got refusal %q (%s), want executed", response.Refusal, response.Detail)
	}
	server.Control(ControlRequest{Faults: server.Faults(), AddVersion: 2})
	for version, expected := range map[uint64]int{1: 0, 2: 1} {
		request := testRequest("read", "select quote, version from rate-desk where quote = 'Q-new'")
		request.Snapshot.Version = version
		if response := execute(t, server, client, request); len(response.Table.Rows) != expected {
			t.Errorf("version %d: got rows %v, want %d rows", version, response.Table.Rows, expected)
		}
	}
}
