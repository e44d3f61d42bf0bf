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

func TestEventsPageIsUpToDate(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "EVENTS", []byte(writePage(pageHead, allEvents())))
}

// TestEveryFieldIsDescribed checks the types that the page is made from.
func TestEveryEventAndFieldIsDescribed(t *testing.T) {
	messages := make(map[string]bool)
	for _, value := range allEvents() {
		if messages[value.Kind().Message] || value.Kind().Message == "" || value.Kind().Meaning == "" {
			t.Errorf("%T: message %q", value, value.Kind().Message)
		}
		messages[value.Kind().Message] = true
		checkFields(t, value)
	}
	checkFields(t, Attempt{})
}

func checkFields(t *testing.T, value any) {
	t.Helper()
	valueType := reflect.TypeOf(value)
	names := make(map[string]bool)
	for index := range valueType.NumField() {
		field := valueType.Field(index)
		name := field.Tag.Get("event")
		if !field.IsExported() {
			continue
		}
		if name == "" || names[name] || field.Tag.Get("doc") == "" || name != strings.ToLower(name) {
			t.Errorf("%T: field %s", value, field.Name)
		}
		names[name] = true
	}
}

// logged returns the line of an event.
func logEvent(t *testing.T, value Event) map[string]any {
	t.Helper()
	var output bytes.Buffer
	Log(slog.New(slog.NewJSONHandler(&output, nil)), value)
	line := make(map[string]any)
	if err := json.Unmarshal(output.Bytes(), &line); err != nil {
		t.Fatalf("%q: %v", output.String(), err)
	}
	return line
}

func TestLogWritesFieldsAndErrorAttributes(t *testing.T) {
	line := logEvent(t, LeafChanged{Leaf: "i-1", Address: netip.MustParseAddrPort("10.0.0.1:80"), Revision: 7})
	if line["msg"] != "leaf changed" || line["leaf"] != "i-1" || line["address"] != "10.0.0.1:80" || line["revision"] != 7.0 {
		t.Errorf("%v", line)
	}
	line = logEvent(t, StoreRegained{Away: 1500 * time.Millisecond})
	if line["away"] != "1.5s" {
		t.Errorf("%v", line)
	}
	line = logEvent(t, StoreLost{Error: oops.With("step", "store_watch", "peer", "10.0.0.9:1").Wrap(errors.New("reset"))})
	if line["level"] != "WARN" || line["error"] != "reset" || line["step"] != "store_watch" || line["peer"] != "10.0.0.9:1" {
		t.Errorf("%v", line)
	}
	line = logEvent(t, Request{RequestID: "a", Attempts: []Attempt{{Leaf: "i-2", Cause: "hedge"}}}.WithLevel(slog.LevelWarn))
	attempts, _ := line["attempts"].([]any)
	if line["level"] != "WARN" || len(attempts) != 1 || attempts[0].(map[string]any)["cause"] != "hedge" {
		t.Errorf("%v", line)
	}
}

// TestEveryEventCanBeLogged also when its fields are empty.
func TestZeroEventsCanBeLogged(t *testing.T) {
	for _, value := range allEvents() {
		if line := logEvent(t, value); line["msg"] != value.Kind().Message {
			t.Errorf("%T: %v", value, line)
		}
	}
}

// TestLevelThatIsNotLoggedCostsNothing is the path of a level that is off.
func TestLogDoesNotAllocateBelowEnabledLevel(t *testing.T) {
	logger := slog.New(slog.NewJSONHandler(&bytes.Buffer{}, &slog.HandlerOptions{Level: slog.LevelError}))
	var value Event = Request{}
	if allocated := testing.AllocsPerRun(100, func() { Log(logger, value) }); allocated > 0 {
		t.Errorf("%.0f allocations", allocated)
	}
}
