package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/rollout"
)

// newCanaryRig has two leaves, and a third that is a canary.
func newCanaryRig(t *testing.T, change func(*Config)) *rig {
	r := newRig(t, 3, change)
	r.topology.Leaves[2].Canary = true
	r.perform(r.d.SetTopology(r.now, r.topology))
	return r
}

// allow gives the shard an allowance of half of its requests.
func (r *rig) grantAllowance() {
	allowance := rollout.NewAllowance(rollout.Bounds{Ratio: 0.5 / 0.45}, 1, time.Hour, func() float64 { return 1 })
	r.d.SetAllowance(0, allowance)
	r.d.Grant(0, time.Hour)
}

func TestCanaryAttemptsStayWithinAllowance(t *testing.T) {
	r := newCanaryRig(t, nil)
	for range 20 {
		r.submit(1)
		r.run(20 * time.Millisecond)
	}
	if r.sent[2] > 0 {
		t.Fatalf("%d attempts without an allowance", r.sent[2])
	}
	r.grantAllowance()
	for range 40 {
		r.submit(1)
		r.run(20 * time.Millisecond)
	}
	if r.sent[2] < 15 || r.sent[2] > 20 {
		t.Errorf("%d of 40 attempts at the canary, half are allowed", r.sent[2])
	}
	before := r.sent[2]
	r.d.Grant(0, r.now)
	for range 20 {
		r.submit(1)
		r.run(20 * time.Millisecond)
	}
	if r.sent[2] > before {
		t.Errorf("%d attempts after the grant", r.sent[2]-before)
	}
}

// TestCanaryThatFailsCostsNoAnswer sends the second attempt to another leaf, and no
// hedge or retry of others to the canary.
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
		t.Errorf("%d of 40 answered, %d attempts at the canary", answered, r.sent[2])
	}
}

// fail ends an attempt without an answer.
func (r *rig) fail(send Send) {
	for index, open := range r.open {
		if open.Attempt == send.Attempt {
			r.open = append(r.open[:index:index], r.open[index+1:]...)
			break
		}
	}
	r.perform(r.d.Fail(r.now, send.Attempt, Failure{Sent: true}))
}

// TestCanaryWaitsForItsBudget: without the means to send a request again, none goes
// to the canary.
func TestCanaryGetsNoAttemptWithoutRetryBudget(t *testing.T) {
	r := newCanaryRig(t, func(config *Config) {
		config.Budget.Initial, config.Budget.Capacity, config.Budget.Debt = 0, 0, 0
	})
	r.grantAllowance()
	for range 20 {
		r.submit(1)
		r.run(20 * time.Millisecond)
	}
	if r.sent[2] > 0 {
		t.Errorf("%d attempts at the canary", r.sent[2])
	}
}

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
		t.Errorf("%d attempts while it is cold", r.sent[2])
	}
	r.run(time.Second)
	for range 10 {
		r.submit(1)
		r.run(20 * time.Millisecond)
	}
	if r.sent[2] == 0 {
		t.Error("none once it is warm")
	}
}

// TestCanaryBecomesALeaf, and the others are retired: queries that wait go on.
func TestPromotedCanaryServesQueries(t *testing.T) {
	r := newCanaryRig(t, nil)
	r.topology.Leaves[2].Canary = false
	r.topology.Leaves[0].Usable, r.topology.Leaves[1].Usable = false, false
	id := r.submit(1)
	r.perform(r.d.SetTopology(r.now, r.topology))
	if got := r.d.InFlightAt(func(boot string) bool { return boot == "1" }); got != 1 {
		t.Errorf("%d in flight at leaves that are retired", got)
	}
	r.run(50 * time.Millisecond)
	next := r.submit(1)
	r.run(50 * time.Millisecond)
	if r.finishes[id].Outcome != OutcomeAnswered || r.finishes[next].Outcome != OutcomeAnswered || r.sent[2] != 1 {
		t.Errorf("%+v, %+v, %d at the new leaf", r.finishes[id], r.finishes[next], r.sent[2])
	}
}
