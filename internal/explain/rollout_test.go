package explain

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/micaplank/micaplank/internal/event"
)

// rolloutLines returns log lines of two nodes about a rollout that is rolled back, and about a
// withdrawn order of another service.
func rolloutLines(t *testing.T) []Line {
	t.Helper()
	var output bytes.Buffer
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	logger := slog.New(slog.NewJSONHandler(&output, &slog.HandlerOptions{ReplaceAttr: func(_ []string, attribute slog.Attr) slog.Attr {
		if attribute.Key == slog.TimeKey {
			attribute.Value = slog.TimeValue(now)
		}
		return attribute
	}}))
	logAt := func(node string, logged event.Event) {
		now = now.Add(100 * time.Millisecond)
		event.Log(logger.With("node", node), logged)
	}
	const reason = "on route lookup the target failed 5 of 21 attempts, the other version 0 of 300"
	for _, node := range []string{"edge-1", "edge-2"} {
		logAt(node, event.RolloutOrdered{Service: "vault", Target: "v2", Duration: 6 * time.Second, Revision: 7})
	}
	logAt("edge-1", event.RolloutDecided{Service: "vault", Target: "v2", Phase: "trial", Reason: "the order was heard", Nodes: 2, Revision: 8})
	logAt("edge-2", event.DeciderChanged{Peer: "edge-1"})
	for _, node := range []string{"edge-1", "edge-2"} {
		logAt(node, event.RolloutChanged{Service: "vault", Target: "v2", Phase: "trial", Reason: "the order was heard", Order: 7})
	}
	logAt("edge-2", event.DeciderChanged{Peer: "edge-2", Former: "edge-1", Error: errors.New("connection refused")})
	logAt("edge-2", event.RolloutDecided{Service: "vault", Target: "v2", Phase: "rolled_back", Reason: reason, Nodes: 2, Error: errors.New("status 503")})
	logAt("edge-2", event.RolloutDecided{Service: "vault", Target: "v2", Phase: "rolled_back", Reason: reason, Nodes: 2, Revision: 9})
	for _, node := range []string{"edge-2", "edge-1"} {
		logAt(node, event.RolloutChanged{Service: "vault", Target: "v2", Phase: "rolled_back", Reason: reason, Order: 7})
	}
	logAt("edge-1", event.RolloutOrdered{Service: "desk", Withdrawn: true, Revision: 10})
	lines, err := ReadLog(&output)
	if err != nil || len(lines) != 12 {
		t.Fatalf("read %d lines with error %v, want 12", len(lines), err)
	}
	return lines
}

func TestRolloutTimeline(t *testing.T) {
	var text bytes.Buffer
	if err := WriteText(&text, RolloutTimeline(rolloutLines(t), "", time.Time{})); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "rollouts", text.Bytes())
	for _, step := range RolloutTimeline(rolloutLines(t), "desk", time.Time{}).Steps {
		if step.Kind != KindOrdered && step.Kind != KindDecider {
			t.Errorf("got step %+v of another service, want kinds %s and %s only", step, KindOrdered, KindDecider)
		}
	}
}
