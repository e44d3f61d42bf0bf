package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/rollout"
)

// newCanaryRig returns a rig with two ordinary leaves and a third leaf that is a canary.
func newCanaryRig(t *testing.T, change func(*Config)) *rig {
	r := newRig(t, 3, change)
	r.topology.Leaves[2].Canary = true
	r.perform(r.d.SetTopology(r.now, r.topology))
	return r
}

// grantAllowance gives the shard an allowance of half of its requests.
func (r *rig) grantAllowance() {
	allowance := rollout.NewAllowance(rollout.Bounds{Ratio: 0.5 / 0.45}, 1, time.Hour, func() float64 { return 1 })
	r.d.SetAllowance(0, allowance)
	r.d.Grant(0, time.Hour)
}

// The canary must get no attempt without an allowance or after the end of the grant, and in between
// its share of the attempts.
func TestCanaryAttemptsStayWithinAllowance(t *testing.T) {
	r := newCanaryRig(t, nil)
	for range 20 {
		r.submit(1)
		r.run(20 * time.Millisecond)
	}
	if r.sent[2] > 0 {
		t.Fatalf("got %d attempts at the canary without an allowance, want 0", r.sent[2])
	}
	r.grantAllowance()
	for range 40 {
		r.submit(1)
		r.run(20 * time.Millisecond)
	}
	if r.sent[2] < 15 || r.sent[2] > 20 {
		t.Errorf("got %d of 40 attempts at the canary, want 15 to 20", r.sent[2])
	}
	before := r.sent[2]
	r.d.Grant(0, r.now)
	for range 20 {
		r.submit(1)
		r.run(20 * time.Millisecond)
	}
	if r.sent[2] > before {
		t.Errorf("got %d attempts at the canary after the grant, want 0", r.sent[2]-before)
	}
}

// When the canary fails, the second attempt must go to another leaf, and neither hedges nor retries
// may go to the canary.
func TestFailingCanaryCostsNoAnswer(t *testing.T) {
	r := newCanaryRig(t, nil)
	r.grantAllowance()
	r.latency[2] = time.Hour
	answered := 0
	for range 40 {
		id := r.submit(1)
		r.run(5 * time.Millisecond)
		for _, send := range r.open {
			if r.leafOf(send) == 2 {
				r.fail(send)
				break
			}
		}
		r.run(100 * time.Millisecond)
		if r.finishes[id].Outcome == OutcomeAnswered {
			answered++
		}
	}
	if r.sent[2] == 0 || answered < 40 {
		t.Errorf("got %d answers with %d attempts at the canary, want 40 with at least 1", answered, r.sent[2])
	}
}

// fail ends an open attempt without an answer.
func (r *rig) fail(send Send) {
	for index, candidate := range r.open {
		if candidate.Attempt == send.Attempt {
			r.open = append(r.open[:index:index], r.open[index+1:]...)
			break
		}
	}
	r.perform(r.d.Fail(r.now, send.Attempt, Failure{Sent: true}))
}

// No request may go to the canary while the budget does not pay for a retry.
func TestCanaryGetsNoAttemptWithoutRetryBudget(t *testing.T) {
	r := newCanaryRig(t, func(config *Config) {
		config.Budget.Initial, config.Budget.Capacity, config.Budget.MaxDebt = 0, 0, 0
	})
	r.grantAllowance()
	for range 20 {
		r.submit(1)
		r.run(20 * time.Millisecond)
	}
	if r.sent[2] > 0 {
		t.Errorf("got %d attempts at the canary without a budget, want 0", r.sent[2])
	}
}

// The canary must get attempts only from WarmAt on.
func TestCanaryGetsNoAttemptBeforeWarmAt(t *testing.T) {
	r := newCanaryRig(t, nil)
	r.grantAllowance()
	r.topology.Leaves[2].WarmAt = r.now + time.Second
	r.perform(r.d.SetTopology(r.now, r.topology))
	for range 10 {
		r.submit(1)
		r.run(20 * time.Millisecond)
	}
	if r.sent[2] > 0 {
		t.Errorf("got %d attempts at the cold canary, want 0", r.sent[2])
	}
	r.run(time.Second)
	for range 10 {
		r.submit(1)
		r.run(20 * time.Millisecond)
	}
	if r.sent[2] == 0 {
		t.Error("got no attempt at the warm canary, want at least 1")
	}
}

// When the canary becomes an ordinary leaf and the others are retired, the attempts in flight at
// these must continue and new queries must go to the previous canary.
func TestPromotedCanaryServesQueries(t *testing.T) {
	r := newCanaryRig(t, nil)
	r.topology.Leaves[2].Canary = false
	r.topology.Leaves[0].Usable, r.topology.Leaves[1].Usable = false, false
	id := r.submit(1)
	r.perform(r.d.SetTopology(r.now, r.topology))
	if got := r.d.InFlightAt(func(boot string) bool { return boot == "1" }); got != 1 {
		t.Errorf("got %d attempts in flight at the retired leaves, want 1", got)
	}
	r.run(50 * time.Millisecond)
	next := r.submit(1)
	r.run(50 * time.Millisecond)
	if r.finishes[id].Outcome != OutcomeAnswered || r.finishes[next].Outcome != OutcomeAnswered || r.sent[2] != 1 {
		t.Errorf("got %+v and %+v with %d attempts at the promoted canary, want two answers with 1", r.finishes[id], r.finishes[next], r.sent[2])
	}
}
