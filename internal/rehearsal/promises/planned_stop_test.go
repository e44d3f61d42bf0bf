package promises

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/cluster"
	"github.com/micaplank/micaplank/internal/rehearsal/history"
	"github.com/micaplank/micaplank/internal/settings"
)

// exitTimeout bounds the graceful exit of a process.
const exitTimeout = 15 * time.Second

// These queries outlast the grace period that a stopping node gives callers to use another node.
const (
	defineLongClass = "class long on filing-vault priority 1 deadline 12s coverage 1.0 repeatable"
	verySlowControl = `{"slow_factor":2000}`
	slowControl     = `{"slow_factor":15}`
)

// TestPlannedStopCutsNothingOff guards against planned stops that interrupt requests. It stops a
// node under queries that outlast its grace period, then the service and a retired leaf under slow
// queries and inserts. Every request must get its full answer or be reported as not run, no leaf
// may see a cancelled request, and the processes must exit with code 0.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	d := deploy(t, shortenFreshness)
	d.awaitInserts()
	firstSubmission := len(d.recorder.Submissions())
	d.runStatement(defineLongClass)
	d.controlLeaves(verySlowControl)
	stop := d.startLoad(6, func(random *rand.Rand, caller int) { d.submit(d.node(caller), newSelect(random, caller, "long")) })
	d.sleep(time.Second)
	d.stopNode(2)
	stop()
	d.controlLeaves(slowControl)
	stop = d.startLoad(9, func(random *rand.Rand, caller int) {
		submission := newSelect(random, caller, classPlain)
		if caller >= 6 {
			submission = newInsert(caller)
		}
		d.submit(d.node(caller), submission)
	})
	d.sleep(time.Second)
	d.runStatement("stop service " + service)
	d.sleep(time.Second)
	d.runStatement("start service " + service)
	d.sleep(500 * time.Millisecond)
	d.retireAndStopLeaf(0)
	stop()
	d.requireNoViolations(history.CheckNoneAborted(d.recorder.Submissions()[firstSubmission:]))
	d.requireNoViolations(history.CheckNoneCancelled(d.executions()))
	d.requireFates("answered", "not-run-stopped")
}

// hangingControl makes leaves take longer than any test.
const hangingControl = `{"slow_factor":100000}`

// TestPlannedStopAnswersWithinDrainTimeout guards against queries that a planned stop cuts off since
// their deadline is later than the drain timeout, and against a process that stays on for them. Each
// caller must get an answer, and the process must exit with code 0.
func TestPlannedStopAnswersWithinDrainTimeout(t *testing.T) {
	d := deploy(t, func(configured *settings.Settings) {
		configured.Limits.DrainTimeout = settings.Duration(2 * time.Second)
	})
	d.runStatement("class hour on filing-vault priority 1 deadline 1h coverage 1.0 repeatable")
	d.controlLeaves(hangingControl)
	before := len(d.recorder.Submissions())
	const callers = 6
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() { d.submit(d.node(0), newSelect(rand.New(rand.NewPCG(1, uint64(caller))), caller, "hour")) })
	}
	d.sleep(time.Second)
	old := d.node(0)
	d.requireNoError(old.Terminate())
	d.requireCleanExit(old.Process)
	group.Wait()
	for _, submission := range d.recorder.Submissions()[before:] {
		if submission.Err != nil {
			t.Errorf("query %s: got error %v, want an answer", submission.Request.RequestID, submission.Err)
		}
	}
}

func (d *deployment) controlLeaves(control string) {
	d.t.Helper()
	for _, leaf := range d.Leaves {
		d.requireNoError(d.ControlLeaf(d.ctx, leaf, json.RawMessage(control)))
	}
}

// stopNode stops a node gracefully. Its callers stay until it has begun to drain and then use the
// next node.
func (d *deployment) stopNode(index int) {
	d.t.Helper()
	old := d.node(index)
	next := d.node(index + 1)
	d.requireNoError(old.Terminate())
	d.sleep(300 * time.Millisecond)
	d.mutex.Lock()
	d.nodes[index] = next // callers leave a node that is not ready
	d.mutex.Unlock()
	d.requireCleanExit(old.Process)
}

// retireAndStopLeaf retires a leaf, waits for leavingBound and stops the process.
func (d *deployment) retireAndStopLeaf(index int) {
	d.t.Helper()
	leaf := d.Leaves[index]
	d.runStatement("retire leaf " + leaf.Address().String())
	d.sleep(leavingBound)
	d.requireNoError(leaf.Terminate())
	d.requireCleanExit(leaf.Process)
}

func (d *deployment) requireCleanExit(process *cluster.Process) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.ctx, exitTimeout)
	defer cancel()
	if code := process.Wait(ctx); code != 0 {
		d.t.Errorf("%s: exit code %d, want 0\n%s", process.Name, code, process.Log())
	}
}
