package leaf

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// Outcome is what became of an attempt on the leaf.
type Outcome string

// The outcomes of an attempt.
const (
	// OutcomeExecuted means that the statement ran to its end.
	OutcomeExecuted Outcome = "executed"
	// OutcomeRefused means that the attempt never started.
	OutcomeRefused Outcome = "refused"
	// OutcomeCancelledQueued means that the caller went away before the start.
	OutcomeCancelledQueued Outcome = "cancelled_queued"
	// OutcomeCancelledRunning means that the caller went away after the start;
	// the attempt stopped, and an insert was not applied.
	OutcomeCancelledRunning Outcome = "cancelled_running"
)

// Execution records one attempt.
type Execution struct {
	RequestID string           `json:"request_id"`
	AttemptID string           `json:"attempt_id"`
	Service   string           `json:"service"`
	Shard     int              `json:"shard"`
	Snapshot  catalog.Snapshot `json:"snapshot"`
	Statement string           `json:"statement"`
	Outcome   Outcome          `json:"outcome"`
	Refusal   protocol.Refusal `json:"refusal,omitempty"`
	// Draining says that the leaf was already draining on arrival.
	Draining bool `json:"draining,omitempty"`
	// The times are on the leaf's clock, in microseconds since 1970; Started
	// is zero if the attempt never started.
	Arrived int64 `json:"arrived_unix_microseconds"`
	Started int64 `json:"started_unix_microseconds,omitempty"`
	Ended   int64 `json:"ended_unix_microseconds"`
}

// Executions answers GET /control/executions.
type Executions struct {
	BootID string `json:"boot_id"`
	// Dropped counts the oldest records, dropped for space.
	Dropped    int         `json:"dropped"`
	Executions []Execution `json:"executions"`
}

// loggedExecutions is how many records are kept.
const maximumExecutions = 200_000

// executionLog keeps the newest records.
type executionLog struct {
	mutex   sync.Mutex
	records []Execution
	dropped int
	// copies gets every record as a line of JSON, if it is set.
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
		_ = l.encoder.Encode(record) // a log that cannot be written shows as missing records
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

// LogExecutions writes every record from now on as a line of JSON, before the
// reply leaves. What is written to a file outlives the process.
func (s *Server) LogExecutions(writer io.Writer) {
	s.executions.mutex.Lock()
	defer s.executions.mutex.Unlock()
	s.executions.encoder = json.NewEncoder(writer)
}
