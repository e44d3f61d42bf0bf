package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// maxQueuedLines bounds the memory that lines take while the output is blocked. Further lines
// are dropped.
const maxQueuedLines = 2048

// BoundedWriter queues lines for a writer that may be slow or blocked. Write never blocks: if
// the queue is full, the line is dropped and counted. The number of dropped lines is logged
// before the next line that is written.
type BoundedWriter struct {
	lines        chan []byte
	dropped      atomic.Int64
	droppedTotal prometheus.Counter
	done         chan struct{}
}

// NewBoundedWriter returns a BoundedWriter that forwards lines to writer, and registers its
// counter of dropped lines. Close stops it.
func NewBoundedWriter(writer io.Writer, registerer prometheus.Registerer) *BoundedWriter {
	b := &BoundedWriter{
		lines: make(chan []byte, maxQueuedLines),
		droppedTotal: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_log_lines_unwritten_total", Help: "Log lines that were dropped because the output was not read fast enough."}),
		done: make(chan struct{}),
	}
	registerer.MustRegister(b.droppedTotal)
	go b.run(writer)
	return b
}

// Write queues a copy of one line, or drops the line if the queue is full. It always reports
// success.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
		b.droppedTotal.Inc()
	}
	return len(line), nil
}

// Close waits up to timeout until the queued lines are written. Write must not be called after
// Close.
func (b *BoundedWriter) Close(timeout time.Duration) {
	close(b.lines)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	}
}

// run forwards queued lines to the writer until the queue is closed.
func (b *BoundedWriter) run(writer io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if dropped := b.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(writer, `{"level":"WARN","msg":"log lines unwritten","lines":%d}`+"\n", dropped)
		}
		_, _ = writer.Write(line) // a failure of the log output cannot be logged
	}
}
