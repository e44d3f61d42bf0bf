package promises

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rehearsal/history"
)

// The test repartitions the service once, while queries run.
const (
	secondShards = 6
	secondEpoch  = 2
	// lastVersion is the last index version that the leaves load.
	lastVersion = 6
	// repartitionVersion is the index version whose rollout is followed by the repartition.
	repartitionVersion = 4
)

// TestAnswersComeFromOneSnapshot guards against answers that mix snapshots. While slow queries
// run, it rolls out index versions at random times, with some leaves dropping the old version
// early, and repartitions the service. Each answer must hold the rows of the snapshot that it
// names.
func TestAnswersComeFromOneSnapshot(t *testing.T) {
	d := deploy(t, nil)
	random := rand.New(rand.NewPCG(seed, 1))
	for _, leaf := range d.Leaves {
		d.requireNoError(d.ControlLeaf(d.ctx, leaf, json.RawMessage(`{"slow_factor":15}`)))
	}
	stop := d.startLoad(8, func(random *rand.Rand, caller int) {
		submission := newSelect(random, caller, []string{classSweep, classPlain}[caller%2])
		if caller%4 == 0 {
			submission.Request.MinimumCoverage = &lowCoverage
		}
		d.submit(d.node(random.IntN(nodes)), submission)
	})
	for version := 2; version <= lastVersion; version++ {
		d.rollOutVersion(random, version)
		if version == repartitionVersion {
			d.repartition(random)
		}
	}
	stop()
	submissions := d.recorder.Submissions()
	d.requireNoViolations(history.NewReferenceData(shards, secondShards).CheckRows(submissions))
	d.requireAllSnapshots(submissions)
	d.requireFates("answered")
}

// rollOutVersion loads an index version on all leaves. A quarter of them drop the previous version
// at once, the others after every leaf has the new one.
func (d *deployment) rollOutVersion(random *rand.Rand, version int) {
	d.t.Helper()
	order := random.Perm(len(d.Leaves))
	early := len(order) / 4
	for position, index := range order {
		control := fmt.Sprintf(`{"add_version":%d}`, version)
		if position < early {
			control = fmt.Sprintf(`{"add_version":%d,"drop_version":%d}`, version, version-1)
		}
		d.requireNoError(d.ControlLeaf(d.ctx, d.Leaves[index], json.RawMessage(control)))
		d.sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
	d.sleep(500 * time.Millisecond)
	for _, index := range order[early:] {
		d.requireNoError(d.ControlLeaf(d.ctx, d.Leaves[index], json.RawMessage(fmt.Sprintf(`{"drop_version":%d}`, version-1))))
		d.sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// repartition loads the shards of the second epoch on the leaves, changes the catalog, and drops
// the shards of the first epoch.
func (d *deployment) repartition(random *rand.Rand) {
	d.t.Helper()
	for index, leaf := range d.Leaves {
		first, second := index%secondShards, (index+secondShards/2)%secondShards
		control := fmt.Sprintf(`{"add_partition":{"epoch":%d,"shards":%d,"hold":[%d,%d]}}`, secondEpoch, secondShards, first, second)
		d.requireNoError(d.ControlLeaf(d.ctx, leaf, json.RawMessage(control)))
	}
	d.runStatement(fmt.Sprintf("repartition service %s shards %d", service, secondShards))
	d.sleep(time.Second)
	for _, index := range random.Perm(len(d.Leaves)) {
		d.requireNoError(d.ControlLeaf(d.ctx, d.Leaves[index], json.RawMessage(`{"drop_epoch":1}`)))
		d.sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// requireAllSnapshots fails the test unless answers come from every index version and from both
// epochs. Without them the check of rows would miss some snapshots.
func (d *deployment) requireAllSnapshots(submissions []history.Submission) {
	d.t.Helper()
	answers := make(map[catalog.Snapshot]int)
	for _, submission := range submissions {
		if submission.Answer != nil {
			answers[submission.Answer.Snapshot]++
		}
	}
	d.t.Logf("answers by snapshot: %v", answers)
	for version := 1; version <= lastVersion; version++ {
		firstEpochAnswers := answers[catalog.Snapshot{Version: uint64(version), Epoch: 1}]
		secondEpochAnswers := answers[catalog.Snapshot{Version: uint64(version), Epoch: secondEpoch}]
		if firstEpochAnswers+secondEpochAnswers == 0 || version > repartitionVersion && secondEpochAnswers == 0 {
			d.t.Errorf("version %d: %d answers from the first epoch and %d from the second, want some from this version, and from the second after version %d", version, firstEpochAnswers, secondEpochAnswers, repartitionVersion)
		}
	}
}
