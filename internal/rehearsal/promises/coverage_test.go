package promises

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/history"
)

// lowCoverage is the minimum coverage of callers that accept partial answers.
var lowCoverage = 0.25

// TestCoverageMatchesRows guards against answers that claim shards whose rows they lack, or the
// reverse. Replicas are frozen or killed, refuse requests, and truncate, lose, delay or swap
// replies, two faults at a time. Each answer must hold exactly the rows of the shards that it
// claims. At the end both replicas of one shard are killed; the coverage must name just that shard
// as missing.
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
	d.requireNoViolations(history.NewReferenceData(shards).CheckRows(d.recorder.Submissions()))
	d.requireFates("answered", "partial")
}

// replicaPair returns the indexes of the two leaves of a shard.
func (d *deployment) replicaPair(shard int) (replica1, replica2 int) {
	var holders []int
	for index, leaf := range d.Leaves {
		if leaf.HoldsShard(shard) {
			holders = append(holders, index)
		}
	}
	if len(holders) != replicas {
		d.t.Fatalf("shard %d is on leaves %v, want %d leaves", shard, holders, replicas)
	}
	return holders[0], holders[1]
}

// requireFullCoverage sends one query to every node while one replica of a shard is down, and
// requires full coverage.
func (d *deployment) requireFullCoverage() {
	d.t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	for index := range nodes {
		result := d.submit(d.node(index), newSelect(random, 0, classSweep))
		if result.Answer == nil || result.Answer.Coverage.Answered != shards {
			d.t.Errorf("node %d with one replica down: got %s %+v, want an answer with full coverage", index, result.Fate(), result.Problem)
		}
	}
}

// requireMissingShard sends one query to every node while both replicas of the shard are down, and
// requires a partial answer that lacks just that shard.
func (d *deployment) requireMissingShard(shard int) {
	d.t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	for index := range nodes {
		submission := newSelect(random, 0, classPlain)
		submission.Request.MinimumCoverage = &lowCoverage
		result := d.submit(d.node(index), submission)
		if result.Answer == nil || !slices.Equal(result.Answer.Coverage.Missing, []int{shard}) {
			d.t.Errorf("node %d with both replicas of shard %d down: got %s %+v %+v, want an answer that lacks just this shard", index, shard, result.Fate(), result.Answer, result.Problem)
		}
	}
}
