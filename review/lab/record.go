package lab

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes the lines of record.txt, each with the time since the start of the case. It is safe
// for concurrent use.
type Record struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

// NewRecord creates or replaces a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// Since returns the time since the start of the case.
func (r *Record) Since() time.Duration { return time.Since(r.started) }

// Printf writes one line.
func (r *Record) Printf(format string, arguments ...any) {
	at := r.Since()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f  %s\n", at.Seconds(), fmt.Sprintf(format, arguments...))
}

// Close writes out all lines.
func (r *Record) Close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
