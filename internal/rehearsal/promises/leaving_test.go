package promises

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/cluster"
	"github.com/micaplank/micaplank/internal/rehearsal/history"
	stand "github.com/micaplank/micaplank/internal/rehearsal/machines"
	"github.com/micaplank/micaplank/internal/selfhosted/machines"
)

const (
	// leavingBound is the time after the word that a leaf is leaving, after
	// which it gets no new work.
	leavingBound = 5 * time.Second
	// cutOffTime is longer than the bound.
	freezeDuration = 6 * time.Second
	// machineListLag is how long the machine list hides a change.
	machineListLagControl = `{"lag":"1s"}`
	// flapTime is how long a flapping leaf drains.
	flapDuration = 400 * time.Millisecond
)

// word is a way to say that a leaf is leaving.
type leaveSignal struct {
	name   string
	leaf   *cluster.Leaf
	send   func(leaf *cluster.Leaf)
	sentAt time.Time
}

// TestLeavingLeafGetsNoNewWork says by command, by the machine list, by the
// leaf's replies, by replies against lying reports, and by a flap that one
// replica of a shard is leaving. One node sleeps from before the words until
// after the bound.
func TestLeavingLeafGetsNoNewWork(t *testing.T) {
	d := deploy(t, nil)
	d.requireNoError(d.Control(d.ctx, d.Machines, stand.ControlPath, json.RawMessage(machineListLagControl)))
	stop := d.startLoad(10, func(random *rand.Rand, caller int) {
		d.submit(d.node(caller), newSelect(random, caller, []string{classSweep, classPlain}[caller%2]))
	})
	d.sleep(500 * time.Millisecond)
	frozen := d.node(nodes - 1)
	d.requireNoError(frozen.Freeze())
	signals := d.signals()
	for index := range signals {
		signals[index].sentAt = time.Now()
		signals[index].send(signals[index].leaf)
	}
	d.sleep(freezeDuration)
	d.requireNoError(frozen.Thaw())
	d.sleep(3 * time.Second)
	stop()
	for _, signal := range signals {
		executions, err := d.LeafExecutions(signal.leaf)
		d.requireNoError(err)
		d.requireNoViolations(history.CheckLeaving(signal.name, executions, signal.sentAt, leavingBound))
		t.Logf("%s: the last attempt arrived %s after the word", signal.name, history.LastArrival(executions, signal.sentAt))
	}
	d.requireNoViolations(history.NewTruth(shards).CheckRows(d.recorder.Submissions()))
	d.requireAnswersAtEnd(frozen)
	d.requireFates("answered")
}

// words gives one replica of each shard a way to leave.
func (d *deployment) signals() []leaveSignal {
	replica := func(shard int) *cluster.Leaf {
		first, _ := d.replicaPair(shard)
		return d.Leaves[first]
	}
	return []leaveSignal{
		{name: "command", leaf: replica(0), send: func(leaf *cluster.Leaf) { d.runStatement("retire leaf " + leaf.Address().String()) }},
		{name: "machine list", leaf: replica(1), send: d.signalByMachineList},
		{name: "lying report", leaf: replica(2), send: d.controlSignal(`{"drain":true,"report_state":"serving","report_scale":0}`)},
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
	d.requireNoError(d.Control(d.ctx, d.Machines, stand.ControlPath, stand.ControlRequest{
		Add:   []machines.Machine{{Address: leaf.Address(), Kind: machines.KindLeaf, State: machines.StateLive}},
		Leave: []netip.AddrPort{leaf.Address()},
	}))
}

// requireWork fails the test if a node answered nothing after the bound: then
// nothing would be proved of it.
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
	d.t.Logf("the node that slept answered %d requests at the end", answered)
	if answered == 0 {
		d.t.Errorf("%s answered nothing after it woke", node.Name)
	}
}
