package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

// Line is one line of a log, with the fields that this package and its users read. Their
// names in JSON are those that internal/event writes; a field is empty in lines of events
// that do not have it.
type Line struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"` // that wrote the line
	Message string    `json:"msg"`  // says which event it is

	SharedFields
	RequestFields
	NodeFields
	RolloutFields
}

// SharedFields are those that several groups of events have.
type SharedFields struct {
	Service string `json:"service"` // of a leaf, or of a roll-out
	Version uint64 `json:"version"` // of the configuration
	Reason  string `json:"reason"`  // why a request ended so, or a roll-out was decided so
	Peer    string `json:"peer"`    // another node
	Error   string `json:"error"`
}

// RequestFields are those of the end of a request; event.Request describes them.
type RequestFields struct {
	RequestID    string          `json:"request_id"`
	Route        string          `json:"route"`
	Fate         string          `json:"fate"`
	Answered     int             `json:"answered"` // shards
	Total        int             `json:"total"`    // shards
	Status       int             `json:"status"`   // of the leaf's answer
	TookMS       int64           `json:"took_ms"`
	PatienceMS   int64           `json:"patience_ms"` // how long the client still waited
	RetryAfterMS int64           `json:"retry_after_ms"`
	From         string          `json:"from"`     // node that took it from its client
	Executor     string          `json:"executor"` // node that ran it, if that is another one
	Attempts     []event.Attempt `json:"attempts"`
	// Dropped counts the lines of requests that the node dropped for their rate
	// since the last one that it wrote.
	DroppedBefore int `json:"dropped_before"`
}

// NodeFields are those of what a node learns: leaves, zones, the store and executors.
type NodeFields struct {
	Leaf     string `json:"leaf"`     // id of its incarnation
	Draining bool   `json:"draining"` // the leaf
	Removed  bool   `json:"removed"`  // the leaf's announcement
	Zone     string `json:"zone"`
	Cordoned bool   `json:"cordoned"` // the zone is out of service
	Away     string `json:"away"`     // how long the store was away, as a duration
	Left     int    `json:"left"`     // executors that the node is still in touch with
}

// RolloutFields are those of roll-outs.
type RolloutFields struct {
	Target    string `json:"target"` // version that is rolled out
	Phase     string `json:"phase"`
	Withdrawn bool   `json:"withdrawn"` // the order
	Nodes     int    `json:"nodes"`     // whose counts the decision rests on
	Duration  string `json:"duration"`  // from the order to its deadline
	Former    string `json:"former"`    // node that decided before
	Order     uint64 `json:"order"`     // revision of the order
}

// maxLine bounds one line of a log, in bytes. Not measured: chosen far above a line with
// the most attempts that a node writes.
const maxLineSize = 1 << 20

// readBuffer is the size of the buffer to begin with, in bytes. Not measured: chosen
// because it holds most lines.
const initialBufferSize = 1 << 16

// Read reads the lines of a log. What is no line of a log in JSON is skipped;
// text before the brace, such as a collector's own time, too.
func ReadLog(reader io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, initialBufferSize), maxLineSize)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var line Line
		if err := json.Unmarshal(text[start:], &line); err == nil && line.Message != "" {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading a log: %w", err)
	}
	return lines, nil
}

// byTime returns the lines in the order of their times; those of one time keep theirs.
func sortByTime(lines []Line) []Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return sorted
}
