package promises

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/history"
)

// lowCoverage lets a caller take an answer with a part of the shards.
var lowCoverage = 0.25

// TestCoverageIsTrue brings about replicas that are frozen or killed, replies
// that are truncated, lost, delayed or those of other requests, and refusals,
// two at a time. Each answer holds exactly the rows of the shards that it
// claims. At the end both replicas of one shard are killed: coverage names
// just that shard.
func TestCoverageMatchesRows(t *testing.T) {
	d := deploy(t, nil)
	stop := d.startLoad(8, func(random *rand.Rand, caller int) {
		submission := newSelect(random, caller, []string{classSweep, classPlain}[caller%2])
		if caller%4 < 2 {
			submission.Request.MinimumCoverage = &lowCoverage
			submission.Request.DeadlineMilliseconds = 150
		}
		d.submit(d.node(random.IntN(nodes)), submission)
	})
	var faults []fault
	for shard := range shards {
		replica1, replica2 := d.replicaPair(shard)
		for _, control := range []string{
			`{"truncate":true}`, `{"lose_reply":30}`, `{"delay_ms":200}`, `{"cross":true}`,
			`{"refuse":"shed"}`, `{"refuse":"shard_moved"}`, `{"refuse":"snapshot_gone"}`, `{"refuse":"cold"}`,
		} {
			faults = append(faults, combine(d.leafFault(replica1, control), d.leafFault(replica2, control)))
		}
		faults = append(faults, d.freezeLeaf(replica2), combine(d.freezeLeaf(replica1), d.freezeLeaf(replica2)), d.leafFault(replica1, `{"truncate":true}`))
	}
	d.runFaults(400*time.Millisecond, 100*time.Millisecond, faults)
	replica1, replica2 := d.replicaPair(1)
	d.Leaves[replica1].Kill()
	d.sleep(time.Second)
	stop()
	d.requireFullCoverage()
	d.Leaves[replica2].Kill()
	d.requireMissingShard(1)
	d.requireNoViolations(history.NewTruth(shards).CheckRows(d.recorder.Submissions()))
	d.requireFates("answered", "partial")
}

// replicasOf returns the two leaves of a shard.
func (d *deployment) replicaPair(shard int) (replica1, replica2 int) {
	var holders []int
	for index, leaf := range d.Leaves {
		if leaf.Holds(shard) {
			holders = append(holders, index)
		}
	}
	if len(holders) != replicas {
		d.t.Fatalf("shard %d has leaves %v", shard, holders)
	}
	return holders[0], holders[1]
}

// requireWholeAnswers asks every node once, with one replica of a shard gone.
func (d *deployment) requireFullCoverage() {
	d.t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	for index := range nodes {
		ended := d.submit(d.node(index), newSelect(random, 0, classSweep))
		if ended.Answer == nil || ended.Answer.Coverage.Answered != shards {
			d.t.Errorf("node %d, one replica gone: %s %+v", index, ended.Fate(), ended.Problem)
		}
	}
}

// requireMissing asks every node until each answers without just that shard.
// What it answers until then is checked like any other answer.
func (d *deployment) requireMissingShard(shard int) {
	d.t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	for index := range nodes {
		submission := newSelect(random, 0, classPlain)
		submission.Request.MinimumCoverage = &lowCoverage
		ended := d.submit(d.node(index), submission)
		if ended.Answer == nil || !slices.Equal(ended.Answer.Coverage.Missing, []int{shard}) {
			d.t.Errorf("node %d, both replicas of shard %d gone: %s %+v %+v", index, shard, ended.Fate(), ended.Answer, ended.Problem)
		}
	}
}
