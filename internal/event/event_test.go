package event

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/samber/oops"
	"github.com/sebdah/goldie/v2"
)

// pageHead is the part of docs/EVENTS.md before the events.
const pageHead = `# Events

<!-- Written by a test: change the text beside the type and run "go test ./internal/event -update". -->

The lines of the log of ` + "`micaplank-edge`" + `, by their message, in JSON on standard output. Each begins with ` + "`time`, `level`, `msg` and `node`" + `. A line whose message was dropped before for its rate (50 a second, 100 for the levels warn and error, each counted apart) has ` + "`dropped_before`" + `, the number of lines. An error brings ` + "`step`" + ` and ` + "`peer`" + ` with it where it has them. How to get from a request to its cause is in [OPERATIONS.md](OPERATIONS.md); ` + "`micactl explain ID`" + ` does it.
`

func TestPage(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "EVENTS", []byte(writePage(pageHead, all())))
}

// TestEveryFieldIsDescribed checks the types that the page is made from.
func TestEveryFieldIsDescribed(t *testing.T) {
	messages := make(map[string]bool)
	for _, one := range all() {
		if messages[one.Kind().Message] || one.Kind().Message == "" || one.Kind().Meaning == "" {
			t.Errorf("%T: message %q", one, one.Kind().Message)
		}
		messages[one.Kind().Message] = true
		checkFields(t, one)
	}
	checkFields(t, Attempt{})
}

func checkFields(t *testing.T, one any) {
	t.Helper()
	of := reflect.TypeOf(one)
	names := make(map[string]bool)
	for index := range of.NumField() {
		field := of.Field(index)
		name := field.Tag.Get("event")
		if !field.IsExported() {
			continue
		}
		if name == "" || names[name] || field.Tag.Get("doc") == "" || name != strings.ToLower(name) {
			t.Errorf("%T: field %s", one, field.Name)
		}
		names[name] = true
	}
}

// logged returns the line of an event.
func logged(t *testing.T, one Event) map[string]any {
	t.Helper()
	var output bytes.Buffer
	Log(slog.New(slog.NewJSONHandler(&output, nil)), one)
	line := make(map[string]any)
	if err := json.Unmarshal(output.Bytes(), &line); err != nil {
		t.Fatalf("%q: %v", output.String(), err)
	}
	return line
}

func TestLine(t *testing.T) {
	line := logged(t, LeafChanged{Leaf: "i-1", Address: netip.MustParseAddrPort("10.0.0.1:80"), Revision: 7})
	if line["msg"] != "leaf changed" || line["leaf"] != "i-1" || line["address"] != "10.0.0.1:80" || line["revision"] != 7.0 {
		t.Errorf("%v", line)
	}
	line = logged(t, StoreRegained{Away: 1500 * time.Millisecond})
	if line["away"] != "1.5s" {
		t.Errorf("%v", line)
	}
	line = logged(t, StoreLost{Error: oops.With("step", "store_watch", "peer", "10.0.0.9:1").Wrap(errors.New("reset"))})
	if line["level"] != "WARN" || line["error"] != "reset" || line["step"] != "store_watch" || line["peer"] != "10.0.0.9:1" {
		t.Errorf("%v", line)
	}
	line = logged(t, Request{RequestID: "a", Attempts: []Attempt{{Leaf: "i-2", Cause: "hedge"}}}.WithLevel(slog.LevelWarn))
	attempts, _ := line["attempts"].([]any)
	if line["level"] != "WARN" || len(attempts) != 1 || attempts[0].(map[string]any)["cause"] != "hedge" {
		t.Errorf("%v", line)
	}
}

// TestEveryEventCanBeLogged also when its fields are empty.
func TestEveryEventCanBeLogged(t *testing.T) {
	for _, one := range all() {
		if line := logged(t, one); line["msg"] != one.Kind().Message {
			t.Errorf("%T: %v", one, line)
		}
	}
}

// TestLevelThatIsNotLoggedCostsNothing is the path of a level that is off.
func TestLevelThatIsNotLoggedCostsNothing(t *testing.T) {
	logger := slog.New(slog.NewJSONHandler(&bytes.Buffer{}, &slog.HandlerOptions{Level: slog.LevelError}))
	var one Event = Request{}
	if allocated := testing.AllocsPerRun(100, func() { Log(logger, one) }); allocated > 0 {
		t.Errorf("%.0f allocations", allocated)
	}
}
