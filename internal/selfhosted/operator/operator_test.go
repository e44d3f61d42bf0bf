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

// TestGolden holds what the commands write, with their errors and exit codes.
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

// TestChangeIsSentAgainUnderTheSameID loses the answer of the first node: the
// change goes to the second under the same id.
func TestChangeIsResentWithSameID(t *testing.T) {
	first, second := newFakeNode(t), newFakeNode(t)
	first.dropPosts = true
	session := newSession(io.Discard, FormatText, first.address(), second.address())
	err := session.Exec(context.Background(), "stop service rate-desk", ExecOptions{ChangeID: "in-force"})
	if err != nil {
		t.Fatal(err)
	}
	if a, b := first.receivedBodies(), second.receivedBodies(); len(a) != 1 || len(b) != 1 || a[0] != b[0] || !strings.Contains(a[0], `"in-force"`) {
		t.Errorf("the nodes were sent %q and %q", a, b)
	}
}

// TestRefusalAfterALostAnswer loses the answer of the first node; what the
// second says of a change that the first may still make is not final.
func TestRefusalAfterLostResponseIsUnknown(t *testing.T) {
	first, second := newFakeNode(t), newFakeNode(t)
	first.dropPosts = true
	session := newSession(io.Discard, FormatText, first.address(), second.address())
	for _, id := range []string{"not-accepted", "refused"} {
		err := session.Exec(context.Background(), "stop service rate-desk", ExecOptions{ChangeID: id})
		if err == nil || !strings.Contains(err.Error(), "unknown") || !strings.Contains(err.Error(), "micactl change") {
			t.Errorf("%s: got %v", id, err)
		}
	}
}

// TestLostAnswer has no other node to ask: the id to ask by is in the error.
func TestLostResponseErrorNamesChangeID(t *testing.T) {
	node := newFakeNode(t)
	node.dropPosts = true
	session := newSession(io.Discard, FormatText, node.address())
	err := session.Exec(context.Background(), "stop service rate-desk", ExecOptions{ChangeID: "01JEXAMPLE"})
	if err == nil || !strings.Contains(err.Error(), "micactl change 01JEXAMPLE") || ExitCode(err) != ExitFailed {
		t.Errorf("got %v", err)
	}
}

// TestQueryIsSentOnce checks that a query goes to the next node only if the
// first could not be connected to, and never after it may have arrived.
func TestQueryIsNotResentAfterDelivery(t *testing.T) {
	closed, dropping, healthy := newFakeNode(t), newFakeNode(t), newFakeNode(t)
	closed.server.Close()
	dropping.dropPosts = true
	ctx := context.Background()
	request := api.QueryRequest{RequestID: "answered", Class: "file-quote", Statement: "insert into rate-desk (a) values (1)"}
	session := newSession(io.Discard, FormatText, closed.address(), dropping.address(), healthy.address())
	err := session.Query(ctx, "rate-desk", request)
	if err == nil || !strings.Contains(err.Error(), "may or may not have run") {
		t.Errorf("got %v", err)
	}
	if len(dropping.receivedBodies()) != 1 || len(healthy.receivedBodies()) != 0 {
		t.Errorf("sent %d times to the first node that lives, and %d times to the next", len(dropping.receivedBodies()), len(healthy.receivedBodies()))
	}
	session = newSession(io.Discard, FormatText, closed.address(), healthy.address())
	if err := session.Query(ctx, "rate-desk", request); err != nil || len(healthy.receivedBodies()) != 1 {
		t.Errorf("past a node without connection: %v, sent %d times", err, len(healthy.receivedBodies()))
	}
}

func TestApplySkipsUnchangedStatements(t *testing.T) {
	node := newFakeNode(t)
	session := newSession(io.Discard, FormatText, node.address())
	// The fake node does not know the id that is made up, so the first
	// statement that changes something fails.
	err := session.Apply(context.Background(), "rate-desk.mica", rateDeskChanges, false)
	if err == nil || !strings.Contains(err.Error(), "rate-desk.mica: line 3: class spot-check") {
		t.Errorf("got %v", err)
	}
	if sent := node.receivedBodies(); len(sent) != 2 || !strings.Contains(sent[1], "class spot-check") || !strings.Contains(sent[1], `"operator":"mori"`) {
		t.Errorf("sent %q", sent)
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
		t.Errorf("got %+v, %v", plan, err)
	}
}

func TestParseNodes(t *testing.T) {
	nodes, err := ParseNodes([]string{"127.0.0.1:1, 127.0.0.1:2", "[::1]:3"})
	if err != nil || len(nodes) != 3 {
		t.Errorf("got %v, %v", nodes, err)
	}
	for _, text := range []string{"", "localhost:7201", "127.0.0.1", "http://127.0.0.1:1"} {
		if _, err := ParseNodes([]string{text}); ExitCode(err) != ExitUsage {
			t.Errorf("%q: got %v", text, err)
		}
	}
}

// TestWatchTellsEachFailure has no node to ask: each look is one document, and
// the last failure is not written twice.
func TestWatchReportsEachFailure(t *testing.T) {
	node := newFakeNode(t)
	node.server.Close()
	var output strings.Builder
	session := newSession(&output, FormatJSON, node.address())
	err := session.Finish(session.Watch(context.Background(), time.Millisecond, 2))
	if lines := strings.Count(output.String(), "\n"); err == nil || lines != 2 || strings.Count(output.String(), `{"error":"no node answered`) != 2 {
		t.Errorf("%v, %s", err, output.String())
	}
}
