package telemetry

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// TestStuckReaderHoldsNobodyUp logs to a pipe that nobody reads. Once it is
// read, the log says how many lines are lost.
func TestStuckReaderHoldsNobodyUp(t *testing.T) {
	reader, writer := io.Pipe()
	bounded := NewBoundedWriter(writer, prometheus.NewRegistry())
	logger := slog.New(slog.NewJSONHandler(bounded, nil))
	for number := range 3 * queuedLines {
		logger.Info("line", "number", number)
	}
	read := make(chan string)
	go func() {
		text, _ := io.ReadAll(reader)
		read <- string(text)
	}()
	for len(bounded.lines) > queuedLines/2 {
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
func TestCloseDoesNotWaitForAStuckReader(t *testing.T) {
	_, writer := io.Pipe()
	bounded := NewBoundedWriter(writer, prometheus.NewRegistry())
	_, _ = bounded.Write([]byte("line\n"))
	bounded.Close(time.Millisecond)
	_ = writer.Close()
	<-bounded.done
}

// TestEachMessageHasItsRate logs two messages, one of them far too often.
func TestEachMessageHasItsRate(t *testing.T) {
	var text bytes.Buffer
	handler := NewCappedHandler(slog.NewTextHandler(&text, nil), CapConfig{Info: 5, Warn: 10}, prometheus.NewRegistry())
	now := time.Unix(0, 0)
	handler.state.now = func() time.Time { return now }
	logger := slog.New(handler).With("node", "n")
	for range 100 {
		logger.Info("often")
		logger.Warn("trouble")
	}
	logger.Info("seldom")
	for message, want := range map[string]int{"often": 5, "trouble": 10, "seldom": 1} {
		if got := strings.Count(text.String(), "msg="+message); got != want {
			t.Errorf("%s: %d lines, want %d", message, got, want)
		}
	}
	now = now.Add(time.Second)
	logger.Info("often")
	if !strings.Contains(text.String(), "dropped_before=95") {
		t.Error("the log does not say what it lacks")
	}
}

// TestManyLinesDoNotDisplaceUrgentOnes of the same message.
func TestManyLinesDoNotDisplaceUrgentOnes(t *testing.T) {
	var text strings.Builder
	handler := NewCappedHandler(slog.NewTextHandler(&text, nil), CapConfig{Info: 5, Warn: 10}, prometheus.NewRegistry())
	handler.state.now = func() time.Time { return time.Unix(0, 0) }
	logger := slog.New(handler)
	for range 100 {
		logger.Info("request")
	}
	for range 100 {
		logger.Warn("request")
	}
	if got := strings.Count(text.String(), "level=WARN"); got != 10 {
		t.Errorf("%d urgent lines", got)
	}
}
