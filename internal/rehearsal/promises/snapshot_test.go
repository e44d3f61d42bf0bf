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
	laterShards = 6
	laterEpoch  = 2
	// lastVersion is the index version that the leaves end with.
	lastVersion = 6
	// repartitionAt is the version whose roll the repartition runs beside.
	repartitionAt = 4
)

// TestAnswersComeFromOneSnapshot rolls index versions over the leaves, each at
// its own speed and some dropping the old version early, and repartitions the
// service, while slow queries run. Each answer holds the rows of the one
// snapshot that it names.
func TestAnswersComeFromOneSnapshot(t *testing.T) {
	d := deploy(t, nil)
	random := rand.New(rand.NewPCG(seed, 1))
	for _, each := range d.Leaves {
		d.must(d.ControlLeaf(d.ctx, each, json.RawMessage(`{"slow_factor":15}`)))
	}
	stop := d.load(8, func(random *rand.Rand, caller int) {
		submission := sweep(random, caller, []string{classSweep, classPlain}[caller%2])
		if caller%4 == 0 {
			submission.Request.MinimumCoverage = &lowCoverage
		}
		d.submit(d.node(random.IntN(nodes)), submission)
	})
	for version := 2; version <= lastVersion; version++ {
		d.roll(random, version)
		if version == repartitionAt {
			d.repartition(random)
		}
	}
	stop()
	submissions := d.recorder.Submissions()
	d.require(history.NewTruth(shards, laterShards).CheckRows(submissions))
	d.requireSnapshots(submissions)
	d.report("answered")
}

// roll brings a version to all leaves. A quarter of them drop the version
// before it at once, the others once every leaf has the new one.
func (d *deployment) roll(random *rand.Rand, version int) {
	d.t.Helper()
	order := random.Perm(len(d.Leaves))
	early := len(order) / 4
	for place, index := range order {
		control := fmt.Sprintf(`{"add_version":%d}`, version)
		if place < early {
			control = fmt.Sprintf(`{"add_version":%d,"drop_version":%d}`, version, version-1)
		}
		d.must(d.ControlLeaf(d.ctx, d.Leaves[index], json.RawMessage(control)))
		d.wait(time.Duration(random.IntN(100)) * time.Millisecond)
	}
	d.wait(500 * time.Millisecond)
	for _, index := range order[early:] {
		d.must(d.ControlLeaf(d.ctx, d.Leaves[index], json.RawMessage(fmt.Sprintf(`{"drop_version":%d}`, version-1))))
		d.wait(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// repartition brings the shards of the next epoch to the leaves, changes the
// catalog, and drops the shards of the first epoch.
func (d *deployment) repartition(random *rand.Rand) {
	d.t.Helper()
	for index, each := range d.Leaves {
		first, second := index%laterShards, (index+laterShards/2)%laterShards
		control := fmt.Sprintf(`{"add_partition":{"epoch":%d,"shards":%d,"hold":[%d,%d]}}`, laterEpoch, laterShards, first, second)
		d.must(d.ControlLeaf(d.ctx, each, json.RawMessage(control)))
	}
	d.command(fmt.Sprintf("repartition service %s shards %d", service, laterShards))
	d.wait(time.Second)
	for _, index := range random.Perm(len(d.Leaves)) {
		d.must(d.ControlLeaf(d.ctx, d.Leaves[index], json.RawMessage(`{"drop_epoch":1}`)))
		d.wait(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// requireSnapshots fails the test if the answers do not come from snapshots of
// every version and of both epochs: the check of rows would be an empty one.
func (d *deployment) requireSnapshots(submissions []history.Submission) {
	d.t.Helper()
	seen := make(map[catalog.Snapshot]int)
	for _, submission := range submissions {
		if submission.Answer != nil {
			seen[submission.Answer.Snapshot]++
		}
	}
	d.t.Logf("answers by snapshot: %v", seen)
	for version := 1; version <= lastVersion; version++ {
		first := seen[catalog.Snapshot{Version: uint64(version), Epoch: 1}]
		later := seen[catalog.Snapshot{Version: uint64(version), Epoch: laterEpoch}]
		if first+later == 0 || version > repartitionAt && later == 0 {
			d.t.Errorf("version %d: %d answers of the first epoch, %d of the later one", version, first, later)
		}
	}
}
