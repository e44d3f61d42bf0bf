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

// The partition that the service is changed to under running queries.
const (
	secondShards = 6
	secondEpoch  = 2
	// lastVersion is the index version that the leaves end with.
	lastVersion = 6
	// repartitionAt is the version whose roll the repartition runs beside.
	repartitionVersion = 4
)

// TestAnswersComeFromOneSnapshot rolls index versions over the leaves, each at
// its own speed and some dropping the old version early, and repartitions the
// service, while slow queries run. Each answer holds the rows of the one
// snapshot that it names.
func TestAnswersComeFromOneSnapshot(t *testing.T) {
	d := deploy(t, nil)
	random := rand.New(rand.NewPCG(seed, 1))
	for _, each := range d.Leaves {
		d.requireNoError(d.ControlLeaf(d.ctx, each, json.RawMessage(`{"slow_factor":15}`)))
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
	d.requireNoViolations(history.NewTruth(shards, secondShards).CheckRows(submissions))
	d.requireAllSnapshots(submissions)
	d.requireFates("answered")
}

// roll brings a version to all leaves. A quarter of them drop the version
// before it at once, the others once every leaf has the new one.
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

// repartition brings the shards of the next epoch to the leaves, changes the
// catalog, and drops the shards of the first epoch.
func (d *deployment) repartition(random *rand.Rand) {
	d.t.Helper()
	for index, each := range d.Leaves {
		first, second := index%secondShards, (index+secondShards/2)%secondShards
		control := fmt.Sprintf(`{"add_partition":{"epoch":%d,"shards":%d,"hold":[%d,%d]}}`, secondEpoch, secondShards, first, second)
		d.requireNoError(d.ControlLeaf(d.ctx, each, json.RawMessage(control)))
	}
	d.runStatement(fmt.Sprintf("repartition service %s shards %d", service, secondShards))
	d.sleep(time.Second)
	for _, index := range random.Perm(len(d.Leaves)) {
		d.requireNoError(d.ControlLeaf(d.ctx, d.Leaves[index], json.RawMessage(`{"drop_epoch":1}`)))
		d.sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// requireSnapshots fails the test if the answers do not come from snapshots of
// every version and of both epochs: the check of rows would be an empty one.
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
			d.t.Errorf("version %d: %d answers of the first epoch, %d of the later one", version, firstEpochAnswers, secondEpochAnswers)
		}
	}
}
