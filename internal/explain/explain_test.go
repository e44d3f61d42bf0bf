package explain

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/micaplank/micaplank/internal/event"
)

func readDayLog(t testing.TB) []Line {
	t.Helper()
	file, err := os.Open("testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // opened for reading only
	lines, err := ReadLog(file)
	if err != nil || len(lines) == 0 {
		t.Fatalf("read %d lines with error %v", len(lines), err)
	}
	return lines
}

// TestRequestTimelines covers three requests of a recorded log: one that reached a node which had
// just started, one that an executor refused, and one that a leaf did not answer in time.
func TestRequestTimelines(t *testing.T) {
	lines := readDayLog(t)
	for name, id := range map[string]string{
		"started": "18bea8a1172d3c6d", "refused": "6b6ffc4791fe821e", "late": "886af99c970498dc",
	} {
		var text bytes.Buffer
		if err := WriteText(&text, RequestTimeline(lines, id, time.Time{})); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, name, text.Bytes())
	}
	var document bytes.Buffer
	if err := WriteJSON(&document, RequestTimeline(lines, "886af99c970498dc", time.Time{})); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "late_json", document.Bytes())
}

func TestTimelineOfUnknownRequestIsEmpty(t *testing.T) {
	if timeline := RequestTimeline(readDayLog(t), "nobody", time.Time{}); len(timeline.Steps) != 0 {
		t.Errorf("got timeline %+v, want no steps", timeline)
	}
}

// TestSinceDropsRequestsButKeepsNodeState checks that requests before the time are omitted, and
// that older lines still contribute to the state of the node.
func TestSinceDropsRequestsButKeepsNodeState(t *testing.T) {
	lines := readDayLog(t)
	var at time.Time
	for _, line := range lines {
		if line.RequestID == "6b6ffc4791fe821e" {
			at = line.Time
		}
	}
	if timeline := RequestTimeline(lines, "886af99c970498dc", at.Add(-time.Second)); len(timeline.Steps) != 0 {
		t.Errorf("got timeline %+v for an older request, want no steps", timeline)
	}
	timeline := RequestTimeline(lines, "6b6ffc4791fe821e", at.Add(-time.Second))
	if len(timeline.Steps) == 0 || timeline.Steps[0].Kind != KindNodeState {
		t.Errorf("got timeline %+v, want a first step of kind %s", timeline, KindNodeState)
	}
}

// TestTimelineDoesNotDependOnFileOrder checks that the number of steps is the same if the logs of
// the nodes are read in another order.
func TestTimelineDoesNotDependOnFileOrder(t *testing.T) {
	lines := readDayLog(t)
	var forward, backward bytes.Buffer
	if err := WriteText(&forward, RequestTimeline(lines, "6b6ffc4791fe821e", time.Time{})); err != nil {
		t.Fatal(err)
	}
	byNode := make(map[string][]Line)
	for _, line := range lines {
		byNode[line.Node] = append(byNode[line.Node], line)
	}
	var reordered []Line
	for _, name := range []string{"edge-ben-thanh-7", "edge-ben-thanh-1", "edge-go-vap-9", "edge-go-vap-12"} {
		reordered = append(reordered, byNode[name]...)
	}
	if err := WriteText(&backward, RequestTimeline(reordered, "6b6ffc4791fe821e", time.Time{})); err != nil {
		t.Fatal(err)
	}
	if len(strings.Split(forward.String(), "\n")) != len(strings.Split(backward.String(), "\n")) {
		t.Errorf("got timeline\n%s\nwant as many lines as\n%s", backward.String(), forward.String())
	}
}

// TestTimelineCountsDroppedLines checks that only the dropped lines of nodes in the timeline are
// counted, and that lines without a JSON object are skipped.
func TestTimelineCountsDroppedLines(t *testing.T) {
	lines, err := ReadLog(strings.NewReader(`
text of a collector 1.5 {"time":"2026-01-01T00:00:00Z","msg":"request","node":"a","request_id":"x","fate":"merged"}
{"time":"2026-01-01T00:00:01Z","msg":"request","node":"a","request_id":"y","fate":"merged","dropped_before":7}
{"time":"2026-01-01T00:00:01Z","msg":"request","node":"b","request_id":"z","fate":"merged","dropped_before":5}
not json {"time":
`))
	if err != nil || len(lines) != 3 {
		t.Fatalf("read %d lines with error %v", len(lines), err)
	}
	if timeline := RequestTimeline(lines, "x", time.Time{}); timeline.DroppedLines != 7 {
		t.Errorf("got timeline %+v, want 7 dropped lines", timeline)
	}
}

// FuzzReadLog checks that the timeline of any lines that were read can be written.
func FuzzReadLog(f *testing.F) {
	f.Add([]byte(`{"time":"2026-01-01T00:00:00Z","msg":"request","node":"a","request_id":"x","attempts":[{"leaf":"l"}]}`))
	f.Add([]byte("a { b\n{}\n{\"msg\":1}\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		lines, err := ReadLog(bytes.NewReader(content))
		if err != nil {
			return
		}
		if err := WriteText(&bytes.Buffer{}, RequestTimeline(lines, "x", time.Time{})); err != nil {
			t.Error(err)
		}
	})
}

// TestNodeStateListsCordonedZones checks that the state lists the zones that are cordoned at the
// time of a request, without zones that were uncordoned.
func TestNodeStateListsCordonedZones(t *testing.T) {
	state := newNodeState()
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	message := event.ZoneCordoned{}.Kind().Message
	state.apply(&Line{Message: message, Time: start, NodeFields: NodeFields{Zone: "north", Cordoned: true}})
	state.apply(&Line{Message: message, Time: start.Add(time.Second), NodeFields: NodeFields{Zone: "south", Cordoned: true}})
	state.apply(&Line{Message: message, Time: start.Add(2 * time.Second), NodeFields: NodeFields{Zone: "south"}})
	got := state.describe(&Line{Time: start.Add(3 * time.Second)})
	if want := []string{"zone north out of service for 3s"}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestReadLogReadsLoggedEvents guards against JSON names that differ from the field names that
// internal/event writes.
func TestReadLogReadsLoggedEvents(t *testing.T) {
	var output bytes.Buffer
	logger := slog.New(slog.NewJSONHandler(&output, nil))
	attempt := event.Attempt{Shard: 3, Leaf: "i-1", Address: "10.0.0.1:80", Cause: "hedge", AtMS: 5, TookMS: 6, End: "lost",
		Detail: "reset", InFlight: 1, Limit: 2, Others: 0.5, AgeMS: 7, Slowness: 1.5, Budget: 2.5}
	event.Log(logger, event.Request{
		RequestID: "x", Route: "r", Version: 9, Fate: "merged", Reason: "deadline", Answered: 1, Total: 2, Status: 200,
		TookMS: 10, PatienceMS: 11, RetryAfterMS: 12, From: "a", Executor: "b", Attempts: []event.Attempt{attempt},
	})
	event.Log(logger, event.LeafChanged{Leaf: "i-1", Service: "s", Draining: true, Removed: true})
	event.Log(logger, event.RequestLost{RequestID: "x", Executor: "b", Error: errors.New("gone")})
	event.Log(logger, event.StoreRegained{Outage: time.Second})
	event.Log(logger, event.ExecutorsLost{Left: 2})
	event.Log(logger, event.ExecutorInTouch{Peer: "p"})
	event.Log(logger, event.ZoneCordoned{Zone: "z", Cordoned: true})
	lines, err := ReadLog(&output)
	if err != nil || len(lines) != 7 {
		t.Fatalf("read %d lines with error %v", len(lines), err)
	}
	request := lines[0]
	want := Line{
		Time: request.Time, Message: "request", SharedFields: SharedFields{Version: 9, Reason: "deadline"},
		RequestFields: RequestFields{RequestID: "x", Route: "r", Fate: "merged", Answered: 1, Total: 2, Status: 200,
			TookMS: 10, PatienceMS: 11, RetryAfterMS: 12, From: "a", Executor: "b", Attempts: []event.Attempt{attempt}},
	}
	if !reflect.DeepEqual(request, want) {
		t.Errorf("got %+v, want %+v", request, want)
	}
	if leaf := lines[1]; leaf.Leaf != "i-1" || leaf.Service != "s" || !leaf.Draining || !leaf.Removed {
		t.Errorf("got %+v, want leaf i-1 of service s, draining and removed", leaf)
	}
	if lines[2].Executor != "b" || lines[2].Error != "gone" || lines[3].Away != "1s" || lines[4].Left != 2 || lines[5].Peer != "p" || lines[6].Zone != "z" || !lines[6].Cordoned {
		t.Errorf("got %+v, want the fields of the logged events", lines[2:])
	}
}
