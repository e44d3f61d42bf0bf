package leaf

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// Outcome is the result of an attempt on the leaf.
type Outcome string

// The outcomes of an attempt.
const (
	// OutcomeExecuted means that the statement was executed completely.
	OutcomeExecuted Outcome = "executed"
	// OutcomeRefused means that the leaf refused the attempt before its start.
	OutcomeRefused Outcome = "refused"
	// OutcomeCancelledQueued means that the caller disconnected before the start.
	OutcomeCancelledQueued Outcome = "cancelled_queued"
	// OutcomeCancelledRunning means that the caller disconnected after the start. The attempt was
	// stopped, and an insert was not applied.
	OutcomeCancelledRunning Outcome = "cancelled_running"
)

// Execution is the log record of one attempt.
type Execution struct {
	RequestID string           `json:"request_id"`
	AttemptID string           `json:"attempt_id"`
	Service   string           `json:"service"`
	Shard     int              `json:"shard"`
	Snapshot  catalog.Snapshot `json:"snapshot"`
	Statement string           `json:"statement"`
	Outcome   Outcome          `json:"outcome"`
	Refusal   protocol.Refusal `json:"refusal,omitempty"`
	// Draining is set if the leaf was draining when the attempt arrived.
	Draining bool `json:"draining,omitempty"`
	// Arrived, Started and Ended are times on the leaf's clock in microseconds since 1970. Started
	// is zero if the attempt did not start.
	Arrived int64 `json:"arrived_unix_microseconds"`
	Started int64 `json:"started_unix_microseconds,omitempty"`
	Ended   int64 `json:"ended_unix_microseconds"`
}

// Executions is the response to GET /control/executions.
type Executions struct {
	BootID string `json:"boot_id"`
	// Dropped is the number of oldest records that were dropped to limit memory.
	Dropped    int         `json:"dropped"`
	Executions []Execution `json:"executions"`
}

// maximumExecutions is the number of records kept. When it is reached, the older half is dropped.
const maximumExecutions = 200_000

// executionLog holds the newest records.
type executionLog struct {
	mutex   sync.Mutex
	records []Execution
	dropped int
	// encoder writes every record as a line of JSON if it is not nil.
	encoder *json.Encoder
}

func (l *executionLog) add(record Execution) {
	record.Ended = time.Now().UnixMicro()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.records) >= maximumExecutions {
		half := len(l.records) / 2
		l.records = append([]Execution(nil), l.records[half:]...)
		l.dropped += half
	}
	l.records = append(l.records, record)
	if l.encoder != nil {
		_ = l.encoder.Encode(record) // a write error shows as missing records in the output
	}
}

func (l *executionLog) snapshot(bootID string) Executions {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Executions{
		BootID:     bootID,
		Dropped:    l.dropped,
		Executions: append([]Execution{}, l.records...),
	}
}

// LogExecutions writes every further record to the writer as a line of JSON, before the reply of
// the attempt is sent. Records in a file therefore survive the end of the process.
func (s *Server) LogExecutions(writer io.Writer) {
	s.executions.mutex.Lock()
	defer s.executions.mutex.Unlock()
	s.executions.encoder = json.NewEncoder(writer)
}
