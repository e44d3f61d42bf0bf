package promises

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/history"
	"github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// TestNotRunRequestsNeverExecute guards against requests that are reported as not run although a
// leaf started them. Selects and inserts, each with a new id, are sent at overload and with short
// deadlines while nodes drain, are replaced, frozen and killed, the service stops and leaves lose
// replies.
func TestNotRunRequestsNeverExecute(t *testing.T) {
	d := deploy(t, shortenFreshness)
	d.awaitInserts()
	stop := d.startLoad(12, func(random *rand.Rand, caller int) {
		submission := newInsert(caller)
		if caller%2 == 0 {
			submission = newSelect(random, caller, []string{classSweep, classPlain}[caller/2%2])
		}
		if random.IntN(2) == 0 {
			submission.Request.DeadlineMilliseconds = int64(2 + random.IntN(40))
		}
		d.submit(d.node(random.IntN(nodes)), submission)
	})
	replica1, replica2 := d.replicaPair(2)
	slow := d.leafFault(replica1, `{"slow_factor":100}`)
	d.runFaults(1200*time.Millisecond, 400*time.Millisecond, []fault{
		d.freezeNode(0), d.freezeNode(1), d.drainNode(2), d.killNode(1), d.replaceFrozenNode(2),
		d.reversibleStatement("stop service "+service, "start service "+service),
		combine(slow, d.leafFault(replica2, `{"slow_factor":100}`)),
		combine(d.leafFault(replica1, `{"refuse":"shed"}`), d.leafFault(replica2, `{"refuse":"shed"}`)),
		combine(d.leafFault(replica1, `{"lose_reply":200}`), d.leafFault(replica2, `{"lose_reply":200}`)),
		d.freezeLeaf(0), combine(d.freezeLeaf(replica1), d.freezeLeaf(replica2)),
	})
	stop()
	d.sleep(settleTime)
	submissions, executions := d.recorder.Submissions(), d.executions()
	d.requireNoViolations(history.CheckNotRun(submissions, executions))
	d.requireNoViolations(history.CheckOnce(insertSubmissions(submissions), executions))
	d.requireFates("answered", "not-run-stopped", "outcome-unknown", "no reply")
	if !slices.ContainsFunc(submissions, notRunByNode) {
		t.Error("every request that was not run was refused by the stop of the service, want another reason too")
	}
}

// notRunByNode reports whether a request was not run for another reason than the stop of the
// service. The node had then begun to handle the request, or refused it because of its own state.
func notRunByNode(submission history.Submission) bool {
	return submission.NotRun() && submission.Problem.Type != api.ProblemNotRunStopped
}

// TestInsertsRunAtMostOnce guards against double execution of inserts. Callers repeat inserts with
// the same id, at the same and at other nodes, concurrently and later. Meanwhile replies are lost
// or arrive after the deadline, leaves are killed, nodes are frozen beyond the deadline, killed
// and replaced, also while the old process is frozen, and the voter set changes.
func TestInsertsRunAtMostOnce(t *testing.T) {
	d := deploy(t, shortenFreshness)
	d.addNode("node-d1", "a")
	d.awaitInserts()
	stop := d.startLoad(10, d.insertRepeatedly)
	faults := []fault{
		d.freezeNode(0), d.freezeNode(1), d.killNode(0), d.killNode(2), d.replaceFrozenNode(1), d.replaceFrozenNode(2),
		d.reversibleStatement("add voter node-d1 zone a", "remove voter node-d1"),
		d.reversibleStatements(
			[]string{"add voter node-d1 zone a", "remove voter node-b1"},
			[]string{"add voter node-b1 zone b", "remove voter node-d1"}),
		d.storeFault(store.Faults{Outage: store.OutageUnavailable}),
	}
	for _, shard := range []int{0, 3} {
		replica1, replica2 := d.replicaPair(shard)
		faults = append(faults,
			combine(d.leafFault(replica1, `{"lose_reply":100}`), d.leafFault(replica2, `{"lose_reply":100}`)),
			combine(d.leafFault(replica1, `{"delay_ms":1300}`), d.leafFault(replica2, `{"delay_ms":1300}`)))
	}
	d.runFaults(1700*time.Millisecond, 500*time.Millisecond, faults)
	d.replaceVoterAndRestore()
	for shard := range shards {
		replica1, _ := d.replicaPair(shard)
		d.Leaves[replica1].Kill()
		d.sleep(200 * time.Millisecond)
	}
	stop()
	d.sleep(settleTime)
	d.requireNoViolations(history.CheckOnce(insertSubmissions(d.recorder.Submissions()), d.executions()))
	d.requireFates("answered", "outcome-unknown", "unavailable", "no reply")
}

// replaceVoterAndRestore changes the voter set and restores it, with no other fault active, so
// that some ids have another owner for a while.
func (d *deployment) replaceVoterAndRestore() {
	d.t.Helper()
	for _, statement := range []string{
		"add voter node-d1 zone a", "remove voter node-b1", "add voter node-b1 zone b", "remove voter node-d1",
	} {
		d.runStatement(statement)
		d.sleep(300 * time.Millisecond)
	}
	current, err := d.FetchCatalog(d.ctx, d.node(0))
	d.requireNoError(err)
	for _, change := range current.Recent {
		if change.Statement == "remove voter node-b1" {
			return
		}
	}
	d.t.Errorf("recent changes = %+v, want one that removes voter node-b1", current.Recent)
}

// insertRepeatedly submits one insert up to four times.
func (d *deployment) insertRepeatedly(random *rand.Rand, caller int) {
	submission := newInsert(caller)
	var concurrent sync.WaitGroup
	if random.IntN(2) == 0 {
		other := d.node(random.IntN(nodes + 1))
		concurrent.Go(func() { d.submit(other, submission) })
	}
	for range 1 + random.IntN(3) {
		d.submit(d.node(random.IntN(nodes+1)), submission)
		d.sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	concurrent.Wait()
}

// insertSubmissions returns the submissions of inserts.
func insertSubmissions(submissions []history.Submission) []history.Submission {
	var inserts []history.Submission
	for _, submission := range submissions {
		if submission.Filter == nil {
			inserts = append(inserts, submission)
		}
	}
	return inserts
}
