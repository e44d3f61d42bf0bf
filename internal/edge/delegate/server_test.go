package delegate

import (
	"context"
	"testing"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/executors"
	"github.com/micaplank/micaplank/internal/edge/forward"
)

// fixedRunner gives the same answer to each request.
type fixedRunner struct{ answer forward.Answer }

func (f fixedRunner) Status() executors.Status {
	return executors.Status{Version: version, Accepting: true, Fresh: true}
}

func (f fixedRunner) Run(context.Context, string, uint64, *forward.Request) (forward.Answer, bool) {
	return f.answer, true
}

// TestStoppingExecutorRefusesWhatDidNotRun guards against a request that fails because its executor
// stops, although it ran nowhere and its own node has time to run it.
func TestStoppingExecutorRefusesWhatDidNotRun(t *testing.T) {
	for _, test := range []struct {
		answer forward.Answer
		want   Refusal
	}{
		{forward.Answer{Fate: forward.FateNotRun, Reason: dispatch.ReasonStopping}, refusedStopping},
		{forward.Answer{Fate: forward.FateFailed, Reason: dispatch.ReasonStopping}, ""},
		{forward.Answer{Fate: forward.FateNotRun, Reason: dispatch.ReasonOverload}, ""},
		{forward.Answer{Fate: forward.FateMerged}, ""},
	} {
		if got := execute(t.Context(), fixedRunner{test.answer}, &executeRequest{Terms: terms}); got.Refusal != test.want {
			t.Errorf("%+v: got refusal %q, want %q", test.answer, got.Refusal, test.want)
		}
	}
}
