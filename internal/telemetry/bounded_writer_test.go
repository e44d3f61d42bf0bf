package telemetry

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// TestBoundedWriterDropsLinesWhenOutputIsBlocked logs to a pipe without a reader. Logging must
// not block; once the pipe is read, the log reports the dropped lines.
func TestBoundedWriterDropsLinesWhenOutputIsBlocked(t *testing.T) {
	reader, writer := io.Pipe()
	bounded := NewBoundedWriter(writer, prometheus.NewRegistry())
	logger := slog.New(slog.NewJSONHandler(bounded, nil))
	for number := range 3 * maxQueuedLines {
		logger.Info("line", "number", number)
	}
	read := make(chan string)
	go func() {
		text, _ := io.ReadAll(reader)
		read <- string(text)
	}()
	for len(bounded.lines) > maxQueuedLines/2 {
		time.Sleep(time.Millisecond)
	}
	logger.Info("last")
	bounded.Close(time.Minute)
	_ = writer.Close()
	text := <-read
	if !strings.Contains(text, `"msg":"log lines unwritten"`) || !strings.Contains(text, `"msg":"last"`) {
		t.Errorf("got %d bytes of log, want the last line and a line that reports dropped lines", len(text))
	}
}

// TestBoundedWriterCloseTimesOut guards against a Close that waits for a blocked output.
func TestBoundedWriterCloseTimesOut(t *testing.T) {
	_, writer := io.Pipe()
	bounded := NewBoundedWriter(writer, prometheus.NewRegistry())
	_, _ = bounded.Write([]byte("line\n"))
	bounded.Close(time.Millisecond)
	_ = writer.Close()
	<-bounded.done
}
