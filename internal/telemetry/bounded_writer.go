package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// queuedLines is how many lines wait for a slow reader before lines are
// dropped. Not measured: chosen to bound the memory that a stuck reader costs.
const maxQueuedLines = 2048

// BoundedWriter hands lines over to a writer that may be slow or stuck. Write
// never blocks: a line that finds the queue full is dropped and counted, and
// the number dropped is written once there is room again.
type BoundedWriter struct {
	lines        chan []byte
	dropped      atomic.Int64
	droppedTotal prometheus.Counter
	done         chan struct{}
}

// NewBoundedWriter returns a BoundedWriter in front of a writer, and registers
// its counter. Close ends it.
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

// Write queues one line, which it copies. It always succeeds.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
		b.droppedTotal.Inc()
	}
	return len(line), nil
}

// Close writes what is queued, for a limited time. Nothing may be written
// after it.
func (b *BoundedWriter) Close(timeout time.Duration) {
	close(b.lines)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	}
}

func (b *BoundedWriter) run(writer io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if dropped := b.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(writer, `{"level":"WARN","msg":"log lines unwritten","lines":%d}`+"\n", dropped)
		}
		_, _ = writer.Write(line) // there is nobody to tell
	}
}
