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

// Line is a parsed log line with the fields that this package and its users read. The JSON names
// are the field names that internal/event writes. Fields that the event does not have are zero.
type Line struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"` // node that wrote the line
	Message string    `json:"msg"`  // message, which identifies the event

	SharedFields
	RequestFields
	NodeFields
	RolloutFields
}

// SharedFields are fields that occur in several groups of events.
type SharedFields struct {
	Service string `json:"service"` // service of a leaf or of a rollout
	Version uint64 `json:"version"` // version of the configuration
	// Reason is the reason for the fate of a request, or for a decision on a rollout.
	Reason string `json:"reason"`
	Peer   string `json:"peer"` // name of another node
	Error  string `json:"error"`
}

// RequestFields are the fields of event.Request, which describes them.
type RequestFields struct {
	RequestID    string `json:"request_id"`
	Route        string `json:"route"`
	Fate         string `json:"fate"`
	Answered     int    `json:"answered"` // shards that answered
	Total        int    `json:"total"`    // shards of the request
	Status       int    `json:"status"`   // HTTP status of the leaf's answer
	TookMS       int64  `json:"took_ms"`
	PatienceMS   int64  `json:"patience_ms"` // remaining time of the client
	RetryAfterMS int64  `json:"retry_after_ms"`
	From         string `json:"from"` // node that received the request from the client
	// Executor is the node that ran the request, if it is another node.
	Executor string          `json:"executor"`
	Attempts []event.Attempt `json:"attempts"`
	// DroppedBefore counts the lines of requests that the node dropped because of the rate limit
	// since the previous line that it wrote.
	DroppedBefore int `json:"dropped_before"`
}

// NodeFields are the fields of events about leaves, zones, the store and executors.
type NodeFields struct {
	Leaf     string `json:"leaf"`     // id of the incarnation of the leaf
	Draining bool   `json:"draining"` // whether the leaf is draining
	Removed  bool   `json:"removed"`  // whether the leaf's announcement was removed
	Zone     string `json:"zone"`
	Cordoned bool   `json:"cordoned"` // whether the zone is cordoned
	Away     string `json:"away"`     // duration for which the store did not respond
	Left     int    `json:"left"`     // number of executors that still respond
}

// RolloutFields are the fields of events about rollouts.
type RolloutFields struct {
	Target    string `json:"target"` // version that is rolled out
	Phase     string `json:"phase"`
	Withdrawn bool   `json:"withdrawn"` // whether the order was withdrawn
	Nodes     int    `json:"nodes"`     // number of nodes whose counts the decision is based on
	Duration  string `json:"duration"`  // duration from the order to its deadline
	Former    string `json:"former"`    // name of the previous decider
	Order     uint64 `json:"order"`     // revision of the store at which the order was written
}

// maxLineSize is the maximum length of a log line in bytes. It is far above the length of a line
// with the maximum number of attempts.
const maxLineSize = 1 << 20

// initialBufferSize is the initial size of the read buffer in bytes. It holds most lines.
const initialBufferSize = 1 << 16

// ReadLog parses a log with one JSON object per line. It skips lines that are not log lines, and
// ignores text before the opening brace, such as a timestamp that a log collector added.
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
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// sortByTime returns the lines sorted by time. Lines with equal times keep their order.
func sortByTime(lines []Line) []Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return sorted
}
