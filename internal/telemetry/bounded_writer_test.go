package telemetry

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// TestStuckReaderHoldsNobodyUp logs to a pipe that nobody reads. Once it is
// read, the log says how many lines are lost.
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
		t.Errorf("%d bytes without the lines", len(text))
	}
}

// TestCloseDoesNotWaitForAStuckReader beyond its limit.
func TestBoundedWriterCloseTimesOut(t *testing.T) {
	_, writer := io.Pipe()
	bounded := NewBoundedWriter(writer, prometheus.NewRegistry())
	_, _ = bounded.Write([]byte("line\n"))
	bounded.Close(time.Millisecond)
	_ = writer.Close()
	<-bounded.done
}
