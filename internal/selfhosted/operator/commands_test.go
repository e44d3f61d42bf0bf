package operator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const rateDeskChanges = `add voter node-a1 zone a
create service rate-desk shards 8 replicas 2
class spot-check on rate-desk priority 1 deadline 100ms repeatable
add leaf 127.0.0.1:7101 to rate-desk zone b shards 0,1
retire leaf 127.0.0.1:7102
`

// TestCommandsGolden checks the output, the error and the exit code of each command in both
// formats.
func TestCommandsGolden(t *testing.T) {
	ctx := context.Background()
	statement := func(changeID, text string) func(*Session) error {
		return func(s *Session) error { return s.Exec(ctx, text, ExecOptions{Source: "statement", ChangeID: changeID}) }
	}
	query := func(id string) func(*Session) error {
		return func(s *Session) error {
			return s.Query(ctx, "rate-desk", api.QueryRequest{RequestID: id, Class: "lane-sweep", Statement: "select lane from rate-desk"})
		}
	}
	scenarios := []struct {
		name string
		run  func(*Session) error
	}{
		{"exec in force", statement("in-force", "stop service rate-desk")},
		{"exec accepted", statement("accepted", "stop service rate-desk")},
		{"exec dry run", statement("dry-run", "stop service rate-desk")},
		{"exec not accepted", statement("not-accepted", "stop service rate-desk")},
		{"exec unknown", statement("unknown", "stop service rate-desk")},
		{"exec unknown service", statement("refused", "stop service rate-desks")},
		{"exec answer that is no node's", statement("no-such-file", "stop service rate-desk")},
		{"exec syntax error", statement("", "stop service rate-desk\nstop servce rate-desk")},
		{"exec query", statement("", "select * from rate-desk")},
		{"exec nothing", statement("", "-- nothing")},
		{"exec one id for two changes", statement("in-force", "stop service a; stop service b")},
		{"show", statement("", "show leaves of rate-desk")},
		{"status", func(s *Session) error { return s.Status(ctx) }},
		{"watch", func(s *Session) error { return s.Watch(ctx, time.Millisecond, 2) }},
		{"watch wrongly", func(s *Session) error { return s.Watch(ctx, 0, 2) }},
		{"change", func(s *Session) error { return s.Change(ctx, "17-01JEXAMPLE") }},
		{"change by token", func(s *Session) error { return s.Change(ctx, "01JEXAMPLE") }},
		{"change by unknown token", func(s *Session) error { return s.Change(ctx, "01JOTHER") }},
		{"query answered", query("answered")},
		{"query partial", query("partial")},
		{"query not run", query("not-run")},
		{"query of an operator", func(s *Session) error { return s.Query(ctx, "x", api.QueryRequest{Statement: "show nodes"}) }},
		{"apply dry run", func(s *Session) error { return s.Apply(ctx, "rate-desk.mica", rateDeskChanges, true) }},
		{"apply refused", func(s *Session) error { return s.Apply(ctx, "x.mica", "show nodes", true) }},
		{"apply of an unknown leaf", func(s *Session) error { return s.Apply(ctx, "x.mica", "\nretire leaf 127.0.0.1:1", true) }},
		{"drain", func(s *Session) error { return s.Drain(ctx, "node-a1") }},
	}
	for _, format := range []Format{FormatText, FormatJSON} {
		node := newFakeNode(t)
		var report strings.Builder
		for _, scenario := range scenarios {
			fmt.Fprintf(&report, "=== %s\n", scenario.name)
			session := newSession(&report, format, node.address())
			err := session.Finish(scenario.run(session))
			if err != nil {
				fmt.Fprintf(&report, "error: %v\n", err)
			}
			fmt.Fprintf(&report, "exit %d\n", ExitCode(err))
		}
		text := strings.ReplaceAll(report.String(), node.address().String(), "NODE")
		goldie.New(t).Assert(t, "commands-"+string(format), []byte(text))
	}
}

// TestChangeIsResentWithSameID loses the response of the first node. The change must be sent to
// the second node with the same id, so that it takes effect at most once.
func TestChangeIsResentWithSameID(t *testing.T) {
	first, second := newFakeNode(t), newFakeNode(t)
	first.dropPosts = true
	session := newSession(io.Discard, FormatText, first.address(), second.address())
	err := session.Exec(context.Background(), "stop service rate-desk", ExecOptions{ChangeID: "in-force"})
	if err != nil {
		t.Fatal(err)
	}
	if a, b := first.receivedBodies(), second.receivedBodies(); len(a) != 1 || len(b) != 1 || a[0] != b[0] || !strings.Contains(a[0], `"in-force"`) {
		t.Errorf("got bodies %q at the first node and %q at the second, want one and the same with the id in-force", a, b)
	}
}

// TestRefusalAfterLostResponseIsUnknown loses the response of the first node, which may still
// make the change. A refusal by the second node must therefore be reported as unknown.
func TestRefusalAfterLostResponseIsUnknown(t *testing.T) {
	first, second := newFakeNode(t), newFakeNode(t)
	first.dropPosts = true
	session := newSession(io.Discard, FormatText, first.address(), second.address())
	for _, id := range []string{"not-accepted", "refused"} {
		err := session.Exec(context.Background(), "stop service rate-desk", ExecOptions{ChangeID: id})
		if err == nil || !strings.Contains(err.Error(), "unknown") || !strings.Contains(err.Error(), "micactl change") {
			t.Errorf("%s: got error %v, want an unknown fate with the command to ask again", id, err)
		}
	}
}

// TestLostResponseErrorNamesChangeID loses the response of the only node. The error must name
// the id by which the operator can ask for the change.
func TestLostResponseErrorNamesChangeID(t *testing.T) {
	node := newFakeNode(t)
	node.dropPosts = true
	session := newSession(io.Discard, FormatText, node.address())
	err := session.Exec(context.Background(), "stop service rate-desk", ExecOptions{ChangeID: "01JEXAMPLE"})
	if err == nil || !strings.Contains(err.Error(), "micactl change 01JEXAMPLE") || ExitCode(err) != ExitFailure {
		t.Errorf("got error %v with exit code %d, want the command to ask again with %d", err, ExitCode(err), ExitFailure)
	}
}

// TestQueryIsNotResentAfterDelivery checks that a query is sent to the next node only if no
// connection to the previous one could be established, and never after it may have arrived.
func TestQueryIsNotResentAfterDelivery(t *testing.T) {
	closed, dropping, healthy := newFakeNode(t), newFakeNode(t), newFakeNode(t)
	closed.server.Close()
	dropping.dropPosts = true
	ctx := context.Background()
	request := api.QueryRequest{RequestID: "answered", Class: "file-quote", Statement: "insert into rate-desk (a) values (1)"}
	session := newSession(io.Discard, FormatText, closed.address(), dropping.address(), healthy.address())
	err := session.Query(ctx, "rate-desk", request)
	if err == nil || !strings.Contains(err.Error(), "may or may not have run") {
		t.Errorf("got error %v, want one that the insert may or may not have run", err)
	}
	if len(dropping.receivedBodies()) != 1 || len(healthy.receivedBodies()) != 0 {
		t.Errorf("got %d requests at the first reachable node and %d at the next, want 1 and 0", len(dropping.receivedBodies()), len(healthy.receivedBodies()))
	}
	session = newSession(io.Discard, FormatText, closed.address(), healthy.address())
	if err := session.Query(ctx, "rate-desk", request); err != nil || len(healthy.receivedBodies()) != 1 {
		t.Errorf("after an unreachable node: got error %v and %d requests, want none and 1", err, len(healthy.receivedBodies()))
	}
}

func TestApplySkipsUnchangedStatements(t *testing.T) {
	node := newFakeNode(t)
	session := newSession(io.Discard, FormatText, node.address())
	// The fake node has no file for the generated change id, so the first statement that
	// changes something fails.
	err := session.Apply(context.Background(), "rate-desk.mica", rateDeskChanges, false)
	if err == nil || !strings.Contains(err.Error(), "rate-desk.mica: line 3: class spot-check") {
		t.Errorf("got error %v, want one for line 3", err)
	}
	if sent := node.receivedBodies(); len(sent) != 2 || !strings.Contains(sent[1], "class spot-check") || !strings.Contains(sent[1], `"operator":"mori"`) {
		t.Errorf("got requests %q, want the catalog and the class by operator mori", sent)
	}
}

func TestPlanAfterApplyIsEmpty(t *testing.T) {
	statements, err := language.ParseFile(strings.Replace(rateDeskChanges, "retire leaf 127.0.0.1:7102\n", "", 1))
	if err != nil {
		t.Fatal(err)
	}
	current := catalog.Empty()
	for _, located := range statements {
		if current, err = applyStatement(current, located.Statement.(*language.ChangeStatement)); err != nil {
			t.Fatal(err)
		}
	}
	plan, err := NewPlan(current, statements)
	if err != nil || len(plan.Changes)+len(plan.Added)+len(plan.Removed) != 0 || plan.Unchanged != len(statements) {
		t.Errorf("got plan %+v and error %v, want an empty plan with %d unchanged statements", plan, err, len(statements))
	}
}

func TestParseNodes(t *testing.T) {
	nodes, err := ParseNodes([]string{"127.0.0.1:1, 127.0.0.1:2", "[::1]:3"})
	if err != nil || len(nodes) != 3 {
		t.Errorf("got nodes %v and error %v, want three nodes", nodes, err)
	}
	for _, text := range []string{"", "localhost:7201", "127.0.0.1", "http://127.0.0.1:1"} {
		if _, err := ParseNodes([]string{text}); ExitCode(err) != ExitUsage {
			t.Errorf("%q: got error %v, want a usage error", text, err)
		}
	}
}

// TestWatchReportsEachFailure watches an unreachable node. Each failed request must be written
// as one document, and Finish must not write the last failure again.
func TestWatchReportsEachFailure(t *testing.T) {
	node := newFakeNode(t)
	node.server.Close()
	var output strings.Builder
	session := newSession(&output, FormatJSON, node.address())
	err := session.Finish(session.Watch(context.Background(), time.Millisecond, 2))
	if lines := strings.Count(output.String(), "\n"); err == nil || lines != 2 || strings.Count(output.String(), `{"error":"no node answered`) != 2 {
		t.Errorf("got error %v and output %s, want an error and two documents", err, output.String())
	}
}
