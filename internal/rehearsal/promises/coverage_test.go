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
func TestCoverageIsTrue(t *testing.T) {
	d := deploy(t, nil)
	stop := d.load(8, func(random *rand.Rand, caller int) {
		submission := sweep(random, caller, []string{classSweep, classPlain}[caller%2])
		if caller%4 < 2 {
			submission.Request.MinimumCoverage = &lowCoverage
			submission.Request.DeadlineMilliseconds = 150
		}
		d.submit(d.node(random.IntN(nodes)), submission)
	})
	var faults []fault
	for shard := range shards {
		first, second := d.replicasOf(shard)
		for _, control := range []string{
			`{"truncate":true}`, `{"lose_reply":30}`, `{"delay_ms":200}`, `{"cross":true}`,
			`{"refuse":"shed"}`, `{"refuse":"shard_moved"}`, `{"refuse":"snapshot_gone"}`, `{"refuse":"cold"}`,
		} {
			faults = append(faults, both(d.leafFault(first, control), d.leafFault(second, control)))
		}
		faults = append(faults, d.freezeLeaf(second), both(d.freezeLeaf(first), d.freezeLeaf(second)), d.leafFault(first, `{"truncate":true}`))
	}
	d.schedule(400*time.Millisecond, 100*time.Millisecond, faults)
	first, second := d.replicasOf(1)
	d.Leaves[first].Kill()
	d.wait(time.Second)
	stop()
	d.requireWholeAnswers()
	d.Leaves[second].Kill()
	d.requireMissing(1)
	d.require(history.NewTruth(shards).CheckRows(d.recorder.Submissions()))
	d.report("answered", "partial")
}

// replicasOf returns the two leaves of a shard.
func (d *deployment) replicasOf(shard int) (first, second int) {
	var holders []int
	for index, each := range d.Leaves {
		if each.Holds(shard) {
			holders = append(holders, index)
		}
	}
	if len(holders) != replicas {
		d.t.Fatalf("shard %d has leaves %v", shard, holders)
	}
	return holders[0], holders[1]
}

// requireWholeAnswers asks every node once, with one replica of a shard gone.
func (d *deployment) requireWholeAnswers() {
	d.t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	for index := range nodes {
		ended := d.submit(d.node(index), sweep(random, 0, classSweep))
		if ended.Answer == nil || ended.Answer.Coverage.Answered != shards {
			d.t.Errorf("node %d, one replica gone: %s %+v", index, ended.Fate(), ended.Problem)
		}
	}
}

// requireMissing asks every node until each answers without just that shard.
// What it answers until then is checked like any other answer.
func (d *deployment) requireMissing(shard int) {
	d.t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	for index := range nodes {
		submission := sweep(random, 0, classPlain)
		submission.Request.MinimumCoverage = &lowCoverage
		ended := d.submit(d.node(index), submission)
		if ended.Answer == nil || !slices.Equal(ended.Answer.Coverage.Missing, []int{shard}) {
			d.t.Errorf("node %d, both replicas of shard %d gone: %s %+v %+v", index, shard, ended.Fate(), ended.Answer, ended.Problem)
		}
	}
}
