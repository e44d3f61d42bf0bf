package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// A leaf that refuses everything must get few attempts. Each refusal costs budget, and the pause
// after a refusal is only a few milliseconds, so the share of lost attempts has to steer the choice
// away from the leaf.
func TestRefusingLeafGetsFewAttempts(t *testing.T) {
	r := newRig(t, 2, func(c *Config) {
		c.ChargeRefusals, c.EndWithoutBudget = true, true
		c.Score.LossCost = 5
		c.Budget.Initial, c.Budget.Capacity, c.Budget.MaxDebt = 4, 4, 0
	})
	const queries = 100
	answered := 0
	for range queries {
		id := r.submit(1)
		if len(r.open) > 0 && r.leafOf(r.open[0]) == 0 {
			r.refuse(leaf.RefusedShed)
		}
		r.run(20 * time.Millisecond)
		if r.finishes[id].Outcome == OutcomeAnswered {
			answered++
		}
	}
	if answered != queries || r.sent[0] > queries/4 {
		t.Errorf("got %d answers with %v attempts by leaf, want %d answers with at most %d attempts at leaf 0", answered, r.sent, queries, queries/4)
	}
}
