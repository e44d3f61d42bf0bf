package promises

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/cluster"
	"github.com/micaplank/micaplank/internal/rehearsal/history"
)

// exitTimeout is longer than the drain of a process may take here.
const exitTimeout = 15 * time.Second

// The queries that are in flight when a node stops last longer than the time
// that it gives callers to move on.
const (
	longClass = "class long on filing-vault priority 1 deadline 12s coverage 1.0 repeatable"
	longSpeed = `{"slow_factor":2000}`
	slowSpeed = `{"slow_factor":15}`
)

// TestPlannedStopCutsNothingOff stops a node under queries that last longer
// than its grace, then the service and a retired leaf under slow queries and
// inserts. Every request gets its whole answer or is told that it ran nowhere,
// no leaf sees a caller go away, and the processes exit with 0.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	d := deploy(t, shortFreshness)
	d.awaitFilings()
	from := len(d.recorder.Submissions())
	d.command(longClass)
	d.setSpeed(longSpeed)
	stop := d.load(6, func(random *rand.Rand, caller int) { d.submit(d.node(caller), sweep(random, caller, "long")) })
	d.wait(time.Second)
	d.stopNode(2)
	stop()
	d.setSpeed(slowSpeed)
	stop = d.load(9, func(random *rand.Rand, caller int) {
		submission := sweep(random, caller, classPlain)
		if caller >= 6 {
			submission = filing(caller)
		}
		d.submit(d.node(caller), submission)
	})
	d.wait(time.Second)
	d.command("stop service " + service)
	d.wait(time.Second)
	d.command("start service " + service)
	d.wait(500 * time.Millisecond)
	d.stopLeaf(0)
	stop()
	d.require(history.CheckNothingCutOff(d.recorder.Submissions()[from:]))
	d.require(history.CheckNoneCancelled(d.attempts()))
	d.report("answered", "not-run-stopped")
}

func (d *deployment) setSpeed(control string) {
	d.t.Helper()
	for _, each := range d.Leaves {
		d.must(d.ControlLeaf(d.ctx, each, json.RawMessage(control)))
	}
}

// stopNode stops a node as planned. Its callers go to the replacement as soon
// as there is one; until it drains they stay.
func (d *deployment) stopNode(index int) {
	d.t.Helper()
	old := d.node(index)
	next := d.node(index + 1)
	d.must(old.Terminate())
	d.wait(300 * time.Millisecond)
	d.mutex.Lock()
	d.nodes[index] = next // the callers of a node that is not ready go elsewhere
	d.mutex.Unlock()
	d.requireExit(old.Process)
}

// stopLeaf retires a leaf, waits for the bound and stops it.
func (d *deployment) stopLeaf(index int) {
	d.t.Helper()
	leaf := d.Leaves[index]
	d.command("retire leaf " + leaf.Address().String())
	d.wait(leavingBound)
	d.must(leaf.Terminate())
	d.requireExit(leaf.Process)
}

func (d *deployment) requireExit(process *cluster.Process) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.ctx, exitTimeout)
	defer cancel()
	if code := process.Wait(ctx); code != 0 {
		d.t.Errorf("%s: exit code %d\n%s", process.Name, code, process.Log())
	}
}
