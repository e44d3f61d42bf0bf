package promises

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/cluster"
	"github.com/micaplank/micaplank/internal/rehearsal/history"
)

// pauseBeyondDeadline is longer than the deadline of an insert, 1 s, and shorter than the time after
// which a node treats its catalog as outdated.
const pauseBeyondDeadline = 1200 * time.Millisecond

// TestPausedProcessLeavesNoOutcomeUnknown guards against inserts of unknown outcome while a process
// is only paused: the node of the caller, the owner of the request id, or a leaf. Whichever it is,
// it knows the outcome a moment later, and the caller must get it.
func TestPausedProcessLeavesNoOutcomeUnknown(t *testing.T) {
	d := deploy(t, shortenFreshness)
	d.awaitInserts()
	firstSubmission := len(d.recorder.Submissions())
	d.controlLeaves(slowControl)
	stop := d.startLoad(6, func(_ *rand.Rand, caller int) { d.submit(d.node(caller), newInsert(caller)) })
	paused := []*cluster.Process{d.Leaves[0].Process, d.Leaves[1].Process}
	for index := range nodes {
		paused = append(paused, d.node(index).Process)
	}
	for _, process := range paused {
		d.sleep(300 * time.Millisecond)
		d.requireNoError(process.Freeze())
		d.sleep(pauseBeyondDeadline)
		d.requireNoError(process.Thaw())
	}
	stop()
	d.requireNoViolations(history.CheckNoneAborted(d.recorder.Submissions()[firstSubmission:]))
	d.requireNoViolations(history.CheckNoneCancelled(d.executions()))
	d.requireFates("answered")
}
