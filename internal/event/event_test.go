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

// pageHead is the introduction of docs/EVENTS.md.
const pageHead = `# Events

<!-- Written by a test: change the text beside the type and run "go test ./internal/event -update". -->

The log lines of ` + "`micaplank-edge`" + `, listed by message. The log is written as JSON to standard output. Each line begins with ` + "`time`, `level`, `msg` and `node`" + `. Lines of one message are limited to 50 a second, and to 100 a second for the levels warn and error, which have a limit of their own. The first line after dropped lines has the field ` + "`dropped_before`" + `, the number of dropped lines. A line with an error also has ` + "`step`" + ` and ` + "`peer`" + ` where the error has them. [OPERATIONS.md](OPERATIONS.md) describes how to find the cause of a failed request; ` + "`micactl explain ID`" + ` shows the timeline of one request.
`

func TestEventsPageIsUpToDate(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "EVENTS", []byte(writePage(pageHead, allEvents())))
}

// TestEveryEventAndFieldIsDescribed checks that messages are unique, that every type has a
// description, and that every exported field has a unique lower-case name and a description.
func TestEveryEventAndFieldIsDescribed(t *testing.T) {
	messages := make(map[string]bool)
	for _, value := range allEvents() {
		if messages[value.Kind().Message] || value.Kind().Message == "" || value.Kind().Meaning == "" {
			t.Errorf("%T: message %q and meaning %q, want a unique message and a meaning", value, value.Kind().Message, value.Kind().Meaning)
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
			t.Errorf("%T: field %s has tag %q, want a unique lower-case event name and a doc text", value, field.Name, field.Tag)
		}
		names[name] = true
	}
}

// logEvent logs an event as JSON and returns the decoded line.
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
		t.Errorf("got line %v, want message, leaf, address and revision of the event", line)
	}
	line = logEvent(t, StoreRegained{Outage: 1500 * time.Millisecond})
	if line["away"] != "1.5s" {
		t.Errorf("got away %v, want 1.5s", line["away"])
	}
	line = logEvent(t, StoreLost{Error: oops.With("step", "store_watch", "peer", "10.0.0.9:1").Wrap(errors.New("reset"))})
	if line["level"] != "WARN" || line["error"] != "reset" || line["step"] != "store_watch" || line["peer"] != "10.0.0.9:1" {
		t.Errorf("got line %v, want level WARN with error, step and peer", line)
	}
	line = logEvent(t, Request{RequestID: "a", Attempts: []Attempt{{Leaf: "i-2", Cause: "hedge"}}}.WithLevel(slog.LevelWarn))
	attempts, _ := line["attempts"].([]any)
	if line["level"] != "WARN" || len(attempts) != 1 || attempts[0].(map[string]any)["cause"] != "hedge" {
		t.Errorf("got line %v, want level WARN and one attempt with cause hedge", line)
	}
}

// TestZeroEventsCanBeLogged guards against a panic on nil errors and nil values.
func TestZeroEventsCanBeLogged(t *testing.T) {
	for _, value := range allEvents() {
		if line := logEvent(t, value); line["msg"] != value.Kind().Message {
			t.Errorf("%T: got line %v, want message %q", value, line, value.Kind().Message)
		}
	}
}

func TestLogDoesNotAllocateBelowEnabledLevel(t *testing.T) {
	logger := slog.New(slog.NewJSONHandler(&bytes.Buffer{}, &slog.HandlerOptions{Level: slog.LevelError}))
	var value Event = Request{}
	if allocated := testing.AllocsPerRun(100, func() { Log(logger, value) }); allocated > 0 {
		t.Errorf("got %.0f allocations for a disabled level, want 0", allocated)
	}
}
