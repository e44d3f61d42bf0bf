package simulation

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// faultyDecider wraps a Decider and changes the Finish actions that follow a reply, so that a run
// breaks an invariant.
type faultyDecider struct {
	Decider
	editFinish func(dispatch.Finish) []dispatch.Action
}

func (b *faultyDecider) editActions(actions []dispatch.Action) []dispatch.Action {
	var edited []dispatch.Action
	for _, action := range actions {
		if finish, ok := action.(dispatch.Finish); ok {
			edited = append(edited, b.editFinish(finish)...)
			continue
		}
		edited = append(edited, action)
	}
	return edited
}

func (b *faultyDecider) Reply(now Time, id dispatch.AttemptID, reply dispatch.Reply) []dispatch.Action {
	return b.editActions(b.Decider.Reply(now, id, reply))
}

func TestChecksDetectFaultyDecider(t *testing.T) {
	cases := map[Violation]func(dispatch.Finish) []dispatch.Action{
		ViolationSnapshot: func(f dispatch.Finish) []dispatch.Action { f.Snapshot.Version++; return []dispatch.Action{f} },
		ViolationCoverage: func(f dispatch.Finish) []dispatch.Action { f.Answered = f.Answered[1:]; return []dispatch.Action{f} },
		ViolationNotRun: func(f dispatch.Finish) []dispatch.Action {
			return []dispatch.Action{dispatch.Finish{Query: f.Query, Outcome: dispatch.OutcomeNotRun}}
		},
		ViolationFinish: func(f dispatch.Finish) []dispatch.Action { return []dispatch.Action{f, f} },
	}
	for violation, edit := range cases {
		config := testConfig(1, time.Second)
		config.WrapDecider = func(d Decider) Decider { return &faultyDecider{Decider: d, editFinish: edit} }
		if result := mustRun(t, config); result.Violations[violation] == 0 {
			t.Errorf("violations = %v, want at least one %q", result.Violations, violation)
		}
	}
}
