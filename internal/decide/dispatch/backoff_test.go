package dispatch

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// TestLeafThatRefusesAllIsLeftToFewAttempts: each refused one costs of the budget,
// and a leaf that refuses is left alone for a few milliseconds only.
func TestRefusingLeafGetsFewAttempts(t *testing.T) {
	r := newRig(t, 2, func(c *Config) {
		c.ChargeRefusals, c.EndWithoutBudget = true, true
		c.Score.LossPrice = 5
		c.Budget.Initial, c.Budget.Capacity, c.Budget.Debt = 4, 4, 0
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
		t.Errorf("%d of %d answered, sent %v", answered, queries, r.sent)
	}
}
