package promises

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/decide/once"
	"github.com/micaplank/micaplank/internal/rehearsal/cluster"
	"github.com/micaplank/micaplank/internal/rehearsal/history"
	"github.com/micaplank/micaplank/internal/rehearsal/leaf"
)

// pauseBeyondDeadline is longer than the deadline of an insert, 1 s, and shorter than the time after
// which a node treats its catalog as outdated.
const pauseBeyondDeadline = 1200 * time.Millisecond

// TestPausedProcessLeavesNoOutcomeUnknown guards against inserts of unknown outcome while a process
// is only paused: the node of the caller, the owner of the request id, or a leaf. Whichever it is,
// it knows the outcome a moment later, and the caller must get it.
func TestPausedProcessLeavesNoOutcomeUnknown(t *testing.T) {
	d := deploy(t, shortenFreshness)
	d.awaitInserts()
	firstSubmission := len(d.recorder.Submissions())
	d.controlLeaves(slowControl)
	stop := d.startLoad(6, func(_ *rand.Rand, caller int) { d.submit(d.node(caller), newInsert(caller)) })
	paused := []*cluster.Process{d.Leaves[0].Process, d.Leaves[1].Process}
	for index := range nodes {
		paused = append(paused, d.node(index).Process)
	}
	for _, process := range paused {
		d.sleep(300 * time.Millisecond)
		d.requireNoError(process.Freeze())
		d.sleep(pauseBeyondDeadline)
		d.requireNoError(process.Thaw())
	}
	stop()
	d.requireNoViolations(history.CheckNoneAborted(d.recorder.Submissions()[firstSubmission:]))
	d.requireNoViolations(history.CheckNoneCancelled(d.executions()))
	d.requireFates("answered")
}

// TestPausedOwnerIsToldAsNotRun guards against inserts of unknown outcome at an owner that was
// paused before it got them. Their callers must learn before the deadline that they did not run, and
// the owner must not run them when it goes on.
func TestPausedOwnerIsToldAsNotRun(t *testing.T) {
	const inserts = 10
	d := deploy(t, shortenFreshness)
	d.awaitInserts()
	current, err := d.FetchCatalog(d.ctx, d.node(0))
	d.requireNoError(err)
	owner := d.node(1)
	d.sleep(300 * time.Millisecond) // until no response of the owner is recent
	d.requireNoError(owner.Freeze())
	var callers sync.WaitGroup
	submissions := make([]history.Submission, inserts)
	for index := range submissions {
		insert := newInsertOwnedBy(owner.Name, current.VoterNames(), index)
		callers.Go(func() { submissions[index] = d.submit(d.node(0), insert) })
	}
	callers.Wait()
	d.requireNoError(owner.Thaw())
	d.sleep(settleTime)
	executions := d.executions()
	for _, submission := range submissions {
		id := submission.Request.RequestID
		ran := slices.ContainsFunc(executions, func(e leaf.Execution) bool { return e.RequestID == id })
		waited := submission.Returned.Sub(submission.Called)
		if !submission.Refused() || ran || waited >= time.Second {
			t.Errorf("%s: got %s after %s, ran %t; want unavailable within the deadline of 1s, not run", id, submission.Fate(), waited, ran)
		}
	}
}

// newInsertOwnedBy returns an insert whose request id the given voter owns.
func newInsertOwnedBy(owner string, voters []string, caller int) history.Submission {
	for {
		insert := newInsert(caller)
		if once.Owner(voters, ulid.MustParse(insert.Request.RequestID)) == owner {
			return insert
		}
	}
}
