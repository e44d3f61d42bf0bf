package query

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/scatter"
)

// TestUnknownOutcomeIsLogged checks that an operator finds each place that a request of unknown
// outcome has passed: the caller's node names the owner, the owner each attempt.
func TestUnknownOutcomeIsLogged(t *testing.T) {
	var log bytes.Buffer
	f := newFixturePastFence(t)
	f.runner.config.Logger = slog.New(slog.NewTextHandler(&log, nil))
	forwarded := f.newInsertFor("node-b1")
	f.forwarder.err = &ForwardError{Node: "node-b1", Sent: true, Err: errors.New("reset")}
	_, _ = f.runner.Query(context.Background(), "rate-desk", forwarded)
	owned := f.newInsert()
	f.scatterer.result.Outcome = dispatch.OutcomeUnknown
	f.scatterer.result.Attempts = []scatter.AttemptTrace{{End: scatter.EndRefused}, {End: scatter.EndOpen}}
	_, _ = f.runner.Query(context.Background(), "rate-desk", owned)
	for _, want := range []string{forwarded.RequestID, "owner=node-b1", owned.RequestID, "attempt_1.end=refused", "attempt_2.end=open"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("got log\n%swant a line with %q", log.String(), want)
		}
	}
}
