package telemetry

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// TestRateLimitIsPerMessage checks that a message beyond its rate does not use up the rate of
// another message, and that the log reports the dropped lines.
func TestRateLimitIsPerMessage(t *testing.T) {
	var text bytes.Buffer
	handler := NewRateLimitHandler(slog.NewTextHandler(&text, nil), RateLimits{Info: 5, Warn: 10}, prometheus.NewRegistry())
	now := time.Unix(0, 0)
	handler.limiter.now = func() time.Time { return now }
	logger := slog.New(handler).With("node", "n")
	for range 100 {
		logger.Info("often")
		logger.Warn("trouble")
	}
	logger.Info("seldom")
	for message, want := range map[string]int{"often": 5, "trouble": 10, "seldom": 1} {
		if got := strings.Count(text.String(), "msg="+message); got != want {
			t.Errorf("%s: got %d lines, want %d", message, got, want)
		}
	}
	now = now.Add(time.Second)
	logger.Info("often")
	if !strings.Contains(text.String(), "dropped_before=95") {
		t.Errorf("got log %q, want dropped_before=95", text.String())
	}
}

// TestRateLimitOfWarningsIsSeparate checks that lines at level info do not use up the rate of
// warnings with the same message.
func TestRateLimitOfWarningsIsSeparate(t *testing.T) {
	var text strings.Builder
	handler := NewRateLimitHandler(slog.NewTextHandler(&text, nil), RateLimits{Info: 5, Warn: 10}, prometheus.NewRegistry())
	handler.limiter.now = func() time.Time { return time.Unix(0, 0) }
	logger := slog.New(handler)
	for range 100 {
		logger.Info("request")
	}
	for range 100 {
		logger.Warn("request")
	}
	if got := strings.Count(text.String(), "level=WARN"); got != 10 {
		t.Errorf("got %d lines at level warn, want 10", got)
	}
}
