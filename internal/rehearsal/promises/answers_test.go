package promises

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/history"
)

// TestAnswersBelongToTheirRequests guards against answers that hold rows of another request or too
// few rows. Leaves send replies to other requests, late replies or none, while callers use the
// same request ids for different statements concurrently and cancel requests in flight.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	d := deploy(t, nil)
	stop := d.startLoad(10, func(random *rand.Rand, caller int) {
		submission := newSelect(random, caller, []string{classSweep, classPlain}[caller%2])
		if random.IntN(2) == 0 {
			submission.Request.RequestID = fmt.Sprintf("repeated-%d", random.IntN(3))
		}
		if caller%3 == 0 {
			submission.Request.MinimumCoverage = &lowCoverage
			submission.Request.DeadlineMilliseconds = 100
		}
		ctx, cancel := d.withRandomCancel(random)
		defer cancel()
		d.submitWithin(ctx, d.node(random.IntN(nodes)), submission)
	})
	var faults []fault
	for shard := range shards {
		replica1, replica2 := d.replicaPair(shard)
		faults = append(faults,
			combine(d.leafFault(replica1, `{"cross":true}`), d.leafFault(replica2, `{"cross":true}`)),
			d.leafFault(replica1, `{"cross":true,"delay_ms":30}`), d.leafFault(replica2, `{"cross":true,"lose_reply":20}`),
			d.leafFault(replica1, `{"delay_ms":150}`), d.leafFault(replica2, `{"slow_factor":40}`),
			d.freezeLeaf(replica1),
		)
	}
	d.runFaults(500*time.Millisecond, 100*time.Millisecond, faults)
	stop()
	d.requireNoViolations(history.NewReferenceData(shards).CheckRows(d.recorder.Submissions()))
	d.requireFates("answered", "partial", "no reply")
}

// withRandomCancel returns a context that in one of four cases ends after 1 to 20 ms.
func (d *deployment) withRandomCancel(random *rand.Rand) (context.Context, context.CancelFunc) {
	if random.IntN(4) > 0 {
		return context.WithCancel(d.ctx)
	}
	return context.WithTimeout(d.ctx, time.Duration(1+random.IntN(20))*time.Millisecond)
}
