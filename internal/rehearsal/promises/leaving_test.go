package promises

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/cluster"
	"github.com/micaplank/micaplank/internal/rehearsal/history"
	machinelist "github.com/micaplank/micaplank/internal/rehearsal/machines"
	"github.com/micaplank/micaplank/internal/selfhosted/machines"
)

const (
	// leavingBound is the time after the first leave signal after which a leaf must not receive
	// new work.
	leavingBound = 5 * time.Second
	// freezeDuration is longer than leavingBound.
	freezeDuration = 6 * time.Second
	// machineListLagControl makes the machine list report changes 1 s late.
	machineListLagControl = `{"lag":"1s"}`
	// flapDuration is how long a flapping leaf drains before it serves again.
	flapDuration = 400 * time.Millisecond
)

// leaveSignal is a way to announce that a leaf is leaving.
type leaveSignal struct {
	name   string
	leaf   *cluster.Leaf
	send   func(leaf *cluster.Leaf)
	sentAt time.Time
}

// TestLeavingLeafGetsNoNewWork guards against new work for a leaf that is leaving. One replica of
// each shard is announced as leaving: by a command, by the machine list, by a drain that its load
// reports contradict, and by a short drain. One node is frozen from before the signals until after
// leavingBound.
func TestLeavingLeafGetsNoNewWork(t *testing.T) {
	d := deploy(t, nil)
	d.requireNoError(d.Control(d.ctx, d.Machines, machinelist.ControlPath, json.RawMessage(machineListLagControl)))
	stop := d.startLoad(10, func(random *rand.Rand, caller int) {
		d.submit(d.node(caller), newSelect(random, caller, []string{classSweep, classPlain}[caller%2]))
	})
	d.sleep(500 * time.Millisecond)
	frozen := d.node(nodes - 1)
	d.requireNoError(frozen.Freeze())
	signals := d.leaveSignals()
	for index := range signals {
		signals[index].sentAt = time.Now()
		signals[index].send(signals[index].leaf)
	}
	d.sleep(freezeDuration)
	d.requireNoError(frozen.Thaw())
	d.sleep(3 * time.Second)
	stop()
	for _, signal := range signals {
		executions, err := d.ReadLeafExecutions(signal.leaf)
		d.requireNoError(err)
		d.requireNoViolations(history.CheckLeaving(signal.name, executions, signal.sentAt, leavingBound))
		t.Logf("%s: the last attempt arrived %s after the signal", signal.name, history.LastArrival(executions, signal.sentAt))
	}
	d.requireNoViolations(history.NewReferenceData(shards).CheckRows(d.recorder.Submissions()))
	d.requireAnswersAtEnd(frozen)
	d.requireFates("answered")
}

// leaveSignals returns a different signal for one replica of each shard.
func (d *deployment) leaveSignals() []leaveSignal {
	replica := func(shard int) *cluster.Leaf {
		first, _ := d.replicaPair(shard)
		return d.Leaves[first]
	}
	return []leaveSignal{
		{name: "command", leaf: replica(0), send: func(leaf *cluster.Leaf) { d.runStatement("retire leaf " + leaf.Address().String()) }},
		{name: "machine list", leaf: replica(1), send: d.signalByMachineList},
		{name: "false load report", leaf: replica(2), send: d.controlSignal(`{"drain":true,"report_state":"serving","report_scale":0}`)},
		{name: "flap", leaf: replica(3), send: func(leaf *cluster.Leaf) {
			d.controlSignal(`{"drain":true}`)(leaf)
			d.sleep(flapDuration)
			d.controlSignal(`{"drain":false}`)(leaf)
		}},
	}
}

func (d *deployment) controlSignal(control string) func(leaf *cluster.Leaf) {
	return func(leaf *cluster.Leaf) { d.requireNoError(d.ControlLeaf(d.ctx, leaf, json.RawMessage(control))) }
}

func (d *deployment) signalByMachineList(leaf *cluster.Leaf) {
	d.requireNoError(d.Control(d.ctx, d.Machines, machinelist.ControlPath, machinelist.ControlRequest{
		Add:   []machines.Machine{{Address: leaf.Address(), Kind: machines.KindLeaf, State: machines.StateLive}},
		Leave: []netip.AddrPort{leaf.Address()},
	}))
}

// requireAnswersAtEnd fails the test if the node answered no request in the last 2 s, since its
// behaviour after the thaw was then not tested.
func (d *deployment) requireAnswersAtEnd(node *cluster.Node) {
	d.t.Helper()
	answered := 0
	submissions := d.recorder.Submissions()
	last := submissions[len(submissions)-1].Returned
	for _, submission := range submissions {
		if submission.Node == node.Name && submission.Answer != nil && last.Sub(submission.Called) < 2*time.Second {
			answered++
		}
	}
	d.t.Logf("the thawed node answered %d requests at the end", answered)
	if answered == 0 {
		d.t.Errorf("node %s answered no request after it thawed, want at least 1", node.Name)
	}
}
