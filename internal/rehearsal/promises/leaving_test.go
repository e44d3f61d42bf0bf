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
	cutOffTime = 6 * time.Second
	// machineListLag is how long the machine list hides a change.
	machineListLag = `{"lag":"1s"}`
	// flapTime is how long a flapping leaf drains.
	flapTime = 400 * time.Millisecond
)

// word is a way to say that a leaf is leaving.
type word struct {
	name string
	leaf *cluster.Leaf
	say  func(leaf *cluster.Leaf)
	told time.Time
}

// TestLeavingLeafGetsNoNewWork says by command, by the machine list, by the
// leaf's replies, by replies against lying reports, and by a flap that one
// replica of a shard is leaving. One node sleeps from before the words until
// after the bound.
func TestLeavingLeafGetsNoNewWork(t *testing.T) {
	d := deploy(t, nil)
	d.must(d.Control(d.ctx, d.Machines, stand.ControlPath, json.RawMessage(machineListLag)))
	stop := d.load(10, func(random *rand.Rand, caller int) {
		d.submit(d.node(caller), sweep(random, caller, []string{classSweep, classPlain}[caller%2]))
	})
	d.wait(500 * time.Millisecond)
	sleeper := d.node(nodes - 1)
	d.must(sleeper.Freeze())
	words := d.words()
	for index := range words {
		words[index].told = time.Now()
		words[index].say(words[index].leaf)
	}
	d.wait(cutOffTime)
	d.must(sleeper.Thaw())
	d.wait(3 * time.Second)
	stop()
	for _, each := range words {
		attempts, err := d.LeafExecutions(each.leaf)
		d.must(err)
		d.require(history.CheckLeaving(each.name, attempts, each.told, leavingBound))
		t.Logf("%s: the last attempt arrived %s after the word", each.name, history.LastArrival(attempts, each.told))
	}
	d.require(history.NewTruth(shards).CheckRows(d.recorder.Submissions()))
	d.requireWork(sleeper)
	d.report("answered")
}

// words gives one replica of each shard a way to leave.
func (d *deployment) words() []word {
	replica := func(shard int) *cluster.Leaf {
		first, _ := d.replicasOf(shard)
		return d.Leaves[first]
	}
	return []word{
		{name: "command", leaf: replica(0), say: func(leaf *cluster.Leaf) { d.command("retire leaf " + leaf.Address().String()) }},
		{name: "machine list", leaf: replica(1), say: d.leaveByMachineList},
		{name: "lying report", leaf: replica(2), say: d.controlWord(`{"drain":true,"report_state":"serving","report_scale":0}`)},
		{name: "flap", leaf: replica(3), say: func(leaf *cluster.Leaf) {
			d.controlWord(`{"drain":true}`)(leaf)
			d.wait(flapTime)
			d.controlWord(`{"drain":false}`)(leaf)
		}},
	}
}

func (d *deployment) controlWord(control string) func(leaf *cluster.Leaf) {
	return func(leaf *cluster.Leaf) { d.must(d.ControlLeaf(d.ctx, leaf, json.RawMessage(control))) }
}

func (d *deployment) leaveByMachineList(leaf *cluster.Leaf) {
	d.must(d.Control(d.ctx, d.Machines, stand.ControlPath, stand.ControlRequest{
		Add:   []machines.Machine{{Address: leaf.Address(), Kind: machines.KindLeaf, State: machines.StateLive}},
		Leave: []netip.AddrPort{leaf.Address()},
	}))
}

// requireWork fails the test if a node answered nothing after the bound: then
// nothing would be proved of it.
func (d *deployment) requireWork(node *cluster.Node) {
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
