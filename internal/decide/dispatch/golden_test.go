package dispatch

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/micaplank/micaplank/internal/decide/hedge"
)

// The golden files contain the actions of the Dispatcher for random events: the first events in
// full, and a digest with counts for each block of events. Changes that keep the behaviour must not
// update them.
const (
	eventsPerBlock = 300
	blocksPerSeed  = 24
	eventsInFull   = 250 // events of the first seed that are written in full
)

var simulatedSeeds = []uint64{1, 2, 3, 4, 5}

// edgeConfig returns the configuration with the fields that the nodes of the platform set.
func edgeConfig() Config {
	config := DefaultConfig()
	config.BudgetByShard = true
	config.ChargeRefusals = true
	config.WorkByLeaf = true
	config.EqualSlots = true
	config.Score.TieMargin = 0.2
	config.Score.LossCost = 5
	config.Hedge.MaximumQueue = 1
	config.Probation.ProbeInterval = 2 * time.Second
	config.Score.UtilizationCost = 0.6
	config.EndWithoutBudget = true
	config.RequireCoverage = true
	config.Settle.ObjectiveShare = 0.9
	config.Budget.EarnedShare = 0.9
	config.Budget.Resize(hedge.Bounds{Initial: 1, Capacity: 3, Reserve: 0.75, RefillRate: 2})
	config.Budget.MaxDebt = 0
	return config
}

// The actions for random events must equal the recorded ones. This guards against changes of
// behaviour that no other test covers.
func TestActionsOfRandomEvents(t *testing.T) {
	reasons := []Reason{ReasonNone, ReasonOverload, ReasonDeadline, ReasonStopped, ReasonNoLeaf, ReasonNoSnapshot, ReasonCancelled, ReasonConnectionLost, ReasonRefused, ReasonInvalid}
	for _, play := range []struct {
		name    string
		config  Config
		reasons []Reason
	}{
		{name: "actions-default", config: DefaultConfig(), reasons: reasons},
		{name: "actions-edge", config: edgeConfig(), reasons: append(slices.Clone(reasons), ReasonExtraLoad)},
	} {
		t.Run(play.name, func(t *testing.T) {
			play.config.Zone = "a"
			record := newRecorder()
			for _, seed := range simulatedSeeds {
				record.recordSeed(play.config, seed)
			}
			record.requireAll(t, play.reasons)
			goldie.New(t).Assert(t, play.name, record.text())
		})
	}
}

// recorder writes events and actions in a stable text form.
type recorder struct {
	full   strings.Builder
	blocks strings.Builder
	block  hash.Hash
	events int
	sends  int
	aborts int
	ends   int // Finish actions
	counts map[string]int
}

func newRecorder() *recorder {
	return &recorder{block: sha256.New(), counts: make(map[string]int)}
}

// recordSeed records all blocks of a seed.
func (r *recorder) recordSeed(config Config, seed uint64) {
	s := newSimulator(config, seed, r)
	for block := range blocksPerSeed {
		if block > 0 { // the first block runs without a topology
			s.startScenario(block - 1 + int(seed))
		} else {
			s.scenario = scenarios[0]
			s.changeAt = 20 * time.Millisecond
		}
		for range eventsPerBlock {
			s.step()
		}
		r.closeBlock(fmt.Sprintf("seed %d block %d %s", seed, block, s.scenario.name), s.d)
	}
}

// closeBlock writes the digest of a block, including the exported state of the Dispatcher.
func (r *recorder) closeBlock(name string, d *Dispatcher) {
	fmt.Fprintf(r.block, "%+v waiting %d\n", d.Counters(), d.Load().WaitingShards)
	for _, state := range d.LeafStates() {
		fmt.Fprintf(r.block, "%s %s %s %t %t %d/%d others %.6g pace %d latency %s slowness %.6g %t %s\n", state.Address, state.Zone, state.BootID,
			state.Usable, state.Draining, state.InFlight, state.Limit, state.Others, state.Pace, state.Latency, state.Slowness, state.Probation, state.BackoffUntil)
	}
	fmt.Fprintf(&r.blocks, "%s: %d sends, %d aborts, %d finished, sha256 %x\n", name, r.sends, r.aborts, r.ends, r.block.Sum(nil)[:12])
	r.block.Reset()
	r.sends, r.aborts, r.ends = 0, 0, 0
}

// event records an event with its actions.
func (r *recorder) event(now Time, event string, actions []Action, d *Dispatcher) {
	var text strings.Builder
	next, ok := d.NextTick()
	fmt.Fprintf(&text, "%s %s; next %s %t\n", now, event, next, ok)
	for _, action := range actions {
		fmt.Fprintf(&text, "  %s\n", r.describe(action))
	}
	r.block.Write([]byte(text.String()))
	if r.events++; r.events <= eventsInFull {
		r.full.WriteString(text.String())
	}
}

// describe returns the text of an action and counts the action.
func (r *recorder) describe(action Action) string {
	switch action := action.(type) {
	case Send:
		r.sends++
		r.counts["cause "+string(action.Cause)]++
		return describeSend(&action)
	case Abort:
		r.aborts++
		r.counts[fmt.Sprintf("abort overdue %t", action.Overdue)]++
		return fmt.Sprintf("abort %x %t", action.Attempt, action.Overdue)
	case Finish:
		r.ends++
		r.counts["outcome "+string(action.Outcome)]++
		r.counts["reason "+string(action.Reason)]++
		return fmt.Sprintf("finish q%d %s %q at %d/%d: %x of %d, missing %v, retry after %s", action.Query, action.Outcome, action.Reason,
			action.Snapshot.Epoch, action.Snapshot.Version, action.Answered, action.Total, action.Missing, action.RetryAfter)
	default:
		return "unknown action"
	}
}

func describeSend(send *Send) string {
	basis := &send.Basis
	return fmt.Sprintf("send %x q%d shard %d to %s %s %s at %d/%d, left %s, %s %t; %d of %d, others %.6g %s, pace %d, slowness %.6g, budget %.6g",
		send.Attempt, send.Query, send.Shard, send.Leaf, send.Zone, send.BootID, send.Snapshot.Epoch, send.Snapshot.Version, send.Remaining, send.Cause, send.Extra,
		basis.InFlight, basis.Limit, basis.OthersInFlight, basis.ReportAge, basis.Pace, basis.Slowness, basis.Budget)
}

// requireAll fails if a cause, an outcome or one of the reasons did not occur, because the golden
// file then does not guard it.
func (r *recorder) requireAll(t *testing.T, reasons []Reason) {
	wanted := []string{"abort overdue true", "abort overdue false"}
	for _, cause := range []Cause{CauseNeeded, CauseResend, CauseRetry, CauseRestart, CauseHedge, CauseProbe} {
		wanted = append(wanted, "cause "+string(cause))
	}
	for _, outcome := range []Outcome{OutcomeAnswered, OutcomePartial, OutcomeNotRun, OutcomeFailed, OutcomeUnknown} {
		wanted = append(wanted, "outcome "+string(outcome))
	}
	for _, reason := range reasons {
		wanted = append(wanted, "reason "+string(reason))
	}
	for _, key := range wanted {
		if r.counts[key] == 0 {
			t.Errorf("got no action with %q, want at least 1", key)
		}
	}
}

// text returns the content of the golden file.
func (r *recorder) text() []byte {
	keys := make([]string, 0, len(r.counts))
	for key := range r.counts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var text strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&text, "%s: %d\n", key, r.counts[key])
	}
	return []byte(text.String() + r.blocks.String() + r.full.String())
}
