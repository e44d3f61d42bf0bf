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

// TestNotRunMeansNowhere submits requests of both kinds, each id once, at
// overload, with short deadlines, while nodes drain, stop, freeze and die, the
// service stops and leaves lose replies. No request that was "not run" was
// started on any leaf.
func TestNotRunMeansNowhere(t *testing.T) {
	d := deploy(t, shortFreshness)
	d.awaitFilings()
	stop := d.load(12, func(random *rand.Rand, caller int) {
		submission := filing(caller)
		if caller%2 == 0 {
			submission = sweep(random, caller, []string{classSweep, classPlain}[caller/2%2])
		}
		if random.IntN(2) == 0 {
			submission.Request.DeadlineMilliseconds = int64(2 + random.IntN(40))
		}
		d.submit(d.node(random.IntN(nodes)), submission)
	})
	first, second := d.replicasOf(2)
	slow := d.leafFault(first, `{"slow_factor":100}`)
	d.schedule(1200*time.Millisecond, 400*time.Millisecond, []fault{
		d.freezeNode(0), d.freezeNode(1), d.drainNode(2), d.killNode(1), d.overtakeNode(2),
		d.statementFault("stop service "+service, "start service "+service),
		both(slow, d.leafFault(second, `{"slow_factor":100}`)),
		both(d.leafFault(first, `{"refuse":"shed"}`), d.leafFault(second, `{"refuse":"shed"}`)),
		both(d.leafFault(first, `{"lose_reply":200}`), d.leafFault(second, `{"lose_reply":200}`)),
		d.freezeLeaf(0), both(d.freezeLeaf(first), d.freezeLeaf(second)),
	})
	stop()
	d.wait(quietTime)
	submissions, attempts := d.recorder.Submissions(), d.attempts()
	d.require(history.CheckNotRun(submissions, attempts))
	d.require(history.CheckOnce(filings(submissions), attempts))
	d.report("answered", "not-run-stopped", "outcome-unknown", "no reply")
	if !slices.ContainsFunc(submissions, notRunByTheNode) {
		t.Error("no request was not run for another reason than the stop of the service")
	}
}

// notRunByTheNode reports whether a node found a request not to have run, after
// it had begun with it or refused it for its own state.
func notRunByTheNode(submission history.Submission) bool {
	return submission.NotRun() && submission.Problem.Type != api.ProblemNotRunStopped
}

// TestRunsAtMostOnce submits inserts again under the same id, to the same and
// to other nodes, at once and later, while replies are lost or come after the
// deadline, leaves are killed, nodes freeze past the deadline, die and are
// replaced, also while the old process sleeps, and the voter set changes.
func TestRunsAtMostOnce(t *testing.T) {
	d := deploy(t, shortFreshness)
	d.addNode("node-d1", "a")
	d.awaitFilings()
	stop := d.load(10, d.fileRepeatedly)
	faults := []fault{
		d.freezeNode(0), d.freezeNode(1), d.killNode(0), d.killNode(2), d.overtakeNode(1), d.overtakeNode(2),
		d.statementFault("add voter node-d1 zone a", "remove voter node-d1"),
		d.statementsFault(
			[]string{"add voter node-d1 zone a", "remove voter node-b1"},
			[]string{"add voter node-b1 zone b", "remove voter node-d1"}),
		d.storeFault(store.Faults{Outage: store.OutageUnavailable}),
	}
	for _, shard := range []int{0, 3} {
		first, second := d.replicasOf(shard)
		faults = append(faults,
			both(d.leafFault(first, `{"lose_reply":100}`), d.leafFault(second, `{"lose_reply":100}`)),
			both(d.leafFault(first, `{"delay_ms":1300}`), d.leafFault(second, `{"delay_ms":1300}`)))
	}
	d.schedule(1700*time.Millisecond, 500*time.Millisecond, faults)
	d.swapVoters()
	for shard := range shards {
		first, _ := d.replicasOf(shard)
		d.Leaves[first].Kill()
		d.wait(200 * time.Millisecond)
	}
	stop()
	d.wait(quietTime)
	d.require(history.CheckOnce(filings(d.recorder.Submissions()), d.attempts()))
	d.report("answered", "outcome-unknown", "unavailable", "no reply")
}

// swapVoters changes the voting set and changes it back, with no other fault,
// so that ids have another owner for a while.
func (d *deployment) swapVoters() {
	d.t.Helper()
	for _, statement := range []string{
		"add voter node-d1 zone a", "remove voter node-b1", "add voter node-b1 zone b", "remove voter node-d1",
	} {
		d.command(statement)
		d.wait(300 * time.Millisecond)
	}
	current, err := d.Catalog(d.ctx, d.node(0))
	d.must(err)
	for _, change := range current.Recent {
		if change.Statement == "remove voter node-b1" {
			return
		}
	}
	d.t.Error("the voting set was not changed")
}

// fileRepeatedly submits one insert up to four times.
func (d *deployment) fileRepeatedly(random *rand.Rand, caller int) {
	submission := filing(caller)
	var beside sync.WaitGroup
	if random.IntN(2) == 0 {
		other := d.node(random.IntN(nodes + 1))
		beside.Go(func() { d.submit(other, submission) })
	}
	for range 1 + random.IntN(3) {
		d.submit(d.node(random.IntN(nodes+1)), submission)
		d.wait(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	beside.Wait()
}

// filings returns the submissions of inserts.
func filings(submissions []history.Submission) []history.Submission {
	var found []history.Submission
	for _, submission := range submissions {
		if submission.Filter == nil {
			found = append(found, submission)
		}
	}
	return found
}
