package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	rehearsalstore "github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/operator"
	"github.com/micaplank/micaplank/internal/settings"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// testTimeout bounds every wait of these tests. It is generous, since no test asserts a duration.
const testTimeout = 30 * time.Second

// runningNode is a running node that uses the rehearsal store.
type runningNode struct {
	node      *Node
	session   *operator.Session
	output    *strings.Builder
	runResult chan error
}

// startNode starts a node together with a rehearsal store.
func startNode(t testing.TB) *runningNode {
	t.Helper()
	store, err := rehearsalstore.Start(rehearsalstore.Config{Address: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	configured := settings.Example()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	configured.Listen.HTTP, configured.Listen.Peer = loopback, loopback
	configured.Store.Endpoints = []netip.AddrPort{netip.MustParseAddrPort(store.Address())}
	configured.Machines.Address = netip.AddrPort{}
	node, err := New(configured, telemetry.NewRegistry("test"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	running := &runningNode{node: node, output: new(strings.Builder), runResult: make(chan error, 1)}
	running.session = &operator.Session{
		Client:  operator.NewClient([]netip.AddrPort{node.HTTPAddress()}, testTimeout, "mori"),
		Output:  running.output,
		Format:  operator.FormatText,
		Timeout: testTimeout,
	}
	go func() { running.runResult <- node.Run(context.Background()) }()
	return running
}

// exec runs a statement and returns the operator's output.
func (r *runningNode) exec(text string, options operator.ExecOptions) (string, error) {
	r.output.Reset()
	err := r.session.Exec(context.Background(), text, options)
	return r.output.String(), err
}

// waitUntilReady waits until the node reports that it is ready.
func (r *runningNode) waitUntilReady(t testing.TB) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		response, err := client.Get("http://" + r.node.HTTPAddress().String() + "/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("the node is not ready after %s", testTimeout)
}

// TestOperatorCommandsOnRunningNode runs operators' commands from end to end: statement language,
// HTTP interface, change log and planned stop.
func TestOperatorCommandsOnRunningNode(t *testing.T) {
	ignored := goleak.IgnoreCurrent()
	// Cleanups run in reverse order, so this check runs after the store is closed.
	t.Cleanup(func() { goleak.VerifyNone(t, ignored) })
	running := startNode(t)
	running.waitUntilReady(t)
	steps := []struct {
		statement string
		options   operator.ExecOptions
		// want is a part of the output or the type of the problem.
		want string
	}{
		{"add voter node-a1 zone a", operator.ExecOptions{}, "in force on 1 of 1 members, revision 1"},
		{"create service rate-desk shards 4 replicas 1", operator.ExecOptions{DryRun: true}, "valid at revision 1"},
		{"create service rate-desk shards 4 replicas 1", operator.ExecOptions{ChangeID: "token-7"}, "change 2-token-7"},
		{"create service rate-desk shards 4 replicas 1", operator.ExecOptions{ChangeID: "token-7"}, "change 2-token-7"},
		{"create service rate-desk shards 4 replicas 1", operator.ExecOptions{}, string(api.ProblemConflict)},
		{"limit rate-desk concurrency 4 if revision 1", operator.ExecOptions{}, string(api.ProblemConflict)},
		{"limit rate-desk concurrency 4 if revision 2", operator.ExecOptions{}, "revision 3"},
		{"add voter node-x1 zone a", operator.ExecOptions{}, string(api.ProblemUnknownNode)},
		{"stop service rate-desks", operator.ExecOptions{}, string(api.ProblemUnknownService)},
		{"retire leaf 127.0.0.1:1", operator.ExecOptions{}, string(api.ProblemUnknownLeaf)},
		{"drop class sweep on rate-desk", operator.ExecOptions{}, string(api.ProblemUnknownClass)},
		{"show classes of rate-desks", operator.ExecOptions{}, string(api.ProblemUnknownService)},
		{"show voters", operator.ExecOptions{}, "node-a1"},
	}
	for _, step := range steps {
		output, err := running.exec(step.statement, step.options)
		var problem *api.Problem
		if errors.As(err, &problem) {
			output = string(problem.Type)
		} else if err != nil {
			output = err.Error()
		}
		if !strings.Contains(output, step.want) {
			t.Errorf("%s: got %q, want %q", step.statement, output, step.want)
		}
	}
	running.output.Reset()
	if err := running.session.Change(context.Background(), "token-7"); err != nil || !strings.Contains(running.output.String(), "revision 2") {
		t.Errorf("look up change by token: got output %q and error %v, want revision 2", running.output, err)
	}
	if err := running.session.Drain(context.Background(), "node-a1"); err != nil {
		t.Errorf("drain node: got error %v, want none", err)
	}
	select {
	case err := <-running.runResult:
		if err != nil {
			t.Errorf("planned stop: got error %v, want none", err)
		}
	case <-time.After(testTimeout):
		t.Fatalf("planned stop: the node still runs after %s", testTimeout)
	}
}

// TestStatusListsVoters checks the state and the revision of a voter in the status of a running
// node.
func TestStatusListsVoters(t *testing.T) {
	running := startNode(t)
	running.waitUntilReady(t)
	if _, err := running.exec("add voter node-a1 zone a", operator.ExecOptions{}); err != nil {
		t.Fatal(err)
	}
	status, err := running.session.Client.Status(context.Background())
	if err != nil || len(status.Voters) != 1 || status.Voters[0].State != api.NodeAlive || status.Voters[0].Revision != 1 {
		t.Errorf("got status %+v and error %v, want one alive voter at revision 1", status, err)
	}
	running.node.beginDrain()
	if err := <-running.runResult; err != nil {
		t.Errorf("planned stop: got error %v, want none", err)
	}
}
