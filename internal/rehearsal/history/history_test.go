package history

import (
	"errors"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/rehearsal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

const testServiceName = "filing-vault"

var (
	origin       = time.Unix(1_800_000_000, 0)
	testFilter   = Filter{Lane: "OTR-SPK", Weight: 900}
	testSnapshot = catalog.Snapshot{Version: 2, Epoch: 1}
)

// timeAt returns the time of the history at an offset in milliseconds.
func timeAt(milliseconds int) time.Time {
	return origin.Add(time.Duration(milliseconds) * time.Millisecond)
}

func newSubmission(id string, from, to int) Submission {
	return Submission{Request: api.QueryRequest{RequestID: id}, Service: testServiceName, Called: timeAt(from), Returned: timeAt(to)}
}

// newAnswered returns a submission that received an answer.
func newAnswered(id string, from, to int) Submission {
	s := newSubmission(id, from, to)
	s.Answer = &api.QueryResponse{RequestID: id, Outcome: dispatch.OutcomeAnswered}
	return s
}

// newProblem returns a submission that received a problem.
func newProblem(id string, problemType api.ProblemType, from, to int) Submission {
	s := newSubmission(id, from, to)
	s.Problem = api.NewProblem(problemType, "")
	return s
}

// newSubmissionWithoutReply returns a submission whose caller received no response.
func newSubmissionWithoutReply(id string, from, to int) Submission {
	s := newSubmission(id, from, to)
	s.Err = errors.New("connection reset")
	return s
}

func newExecution(id string) leaf.Execution {
	return leaf.Execution{RequestID: id, Outcome: leaf.OutcomeExecuted, Started: 1}
}

// newSelectSubmission returns a submission with the correct answer over 4 shards, of which the
// given ones are missing.
func newSelectSubmission(missing ...int) Submission {
	s := newAnswered("r", 0, 1)
	s.Filter = &testFilter
	s.Answer.Snapshot = testSnapshot
	s.Answer.Coverage = api.Coverage{Answered: 4 - len(missing), Total: 4, Missing: missing}
	s.Answer.Rows = NewReferenceData(4).expectedRows(s)
	return s
}

// TestCheckRows corrupts a correct answer in one way for each case.
func TestCheckRows(t *testing.T) {
	cases := map[string]struct {
		corrupt func(*api.QueryResponse)
		valid   bool
	}{
		"correct":                   {func(*api.QueryResponse) {}, true},
		"row missing":               {func(r *api.QueryResponse) { r.Rows = r.Rows[1:] }, false},
		"row duplicated":            {func(r *api.QueryResponse) { r.Rows = append(r.Rows, r.Rows[0]) }, false},
		"other version":             {func(r *api.QueryResponse) { r.Rows[0][versionColumn] = rows.NewNumber(1) }, false},
		"other price":               {func(r *api.QueryResponse) { r.Rows[0][4] = rows.NewNumber(1) }, false},
		"other request":             {func(r *api.QueryResponse) { r.RequestID = "other" }, false},
		"shard reported as missing": {func(r *api.QueryResponse) { r.Coverage = api.Coverage{Answered: 3, Total: 4, Missing: []int{1}} }, false},
		"shard omitted from total":  {func(r *api.QueryResponse) { r.Coverage = api.Coverage{Answered: 3, Total: 3} }, false},
		"empty":                     {func(r *api.QueryResponse) { r.Rows = nil }, false},
	}
	for name, testCase := range cases {
		s := newSelectSubmission()
		testCase.corrupt(s.Answer)
		if violations := NewReferenceData(4).CheckRows([]Submission{s}); (len(violations) == 0) != testCase.valid {
			t.Errorf("%s: got violations %v, want valid = %t", name, violations, testCase.valid)
		}
	}
	if violations := NewReferenceData(4).CheckRows([]Submission{newSelectSubmission(2)}); len(violations) > 0 {
		t.Errorf("answer without one shard: got violations %v, want none", violations)
	}
}

// TestCheckOnce checks histories of one request id against its number of executions.
func TestCheckOnce(t *testing.T) {
	cases := map[string]struct {
		submissions []Submission
		executions  int
		valid       bool
	}{
		"ran once":                    {[]Submission{newAnswered("r", 0, 1), newAnswered("r", 2, 3)}, 1, true},
		"ran twice":                   {[]Submission{newAnswered("r", 0, 1), newAnswered("r", 2, 3)}, 2, false},
		"answered, but never ran":     {[]Submission{newAnswered("r", 0, 1)}, 0, false},
		"not run, then ran":           {[]Submission{newProblem("r", api.ProblemNotRunOverload, 0, 1), newAnswered("r", 2, 3)}, 1, true},
		"ran, then not run":           {[]Submission{newAnswered("r", 0, 1), newProblem("r", api.ProblemNotRunOverload, 2, 3)}, 1, false},
		"ran and not run, concurrent": {[]Submission{newAnswered("r", 0, 5), newProblem("r", api.ProblemNotRunOverload, 2, 3)}, 1, true},
		"not run, but executed":       {[]Submission{newProblem("r", api.ProblemNotRunOverload, 0, 1)}, 1, false},
		"refused, but executed":       {[]Submission{newProblem("r", api.ProblemUnavailable, 0, 1)}, 1, false},
		"unknown, ran":                {[]Submission{newProblem("r", api.ProblemOutcomeUnknown, 0, 1)}, 1, true},
		"no reply, never ran":         {[]Submission{newSubmissionWithoutReply("r", 0, 1)}, 0, true},
		"no reply, then refused":      {[]Submission{newSubmissionWithoutReply("r", 0, 1), newProblem("r", api.ProblemUnavailable, 2, 3)}, 1, true},
		"no reply, then not run":      {[]Submission{newSubmissionWithoutReply("r", 0, 1), newProblem("r", api.ProblemNotRunOverload, 2, 3)}, 1, true},
		"no reply, ran twice":         {[]Submission{newSubmissionWithoutReply("r", 0, 1), newSubmissionWithoutReply("r", 0, 1)}, 2, false},
	}
	for name, testCase := range cases {
		attempts := []leaf.Execution{newExecution("other")}
		for range testCase.executions {
			attempts = append(attempts, newExecution("r"))
		}
		if violations := CheckOnce(testCase.submissions, attempts); (len(violations) == 0) != testCase.valid {
			t.Errorf("%s: got violations %v, want valid = %t", name, violations, testCase.valid)
		}
	}
}

// TestCheckNotRun checks that any started attempt contradicts "not run", also one that was
// cancelled.
func TestCheckNotRun(t *testing.T) {
	refused := []Submission{newProblem("r", api.ProblemNotRunStale, 0, 1)}
	cancelled := leaf.Execution{RequestID: "r", Outcome: leaf.OutcomeCancelledRunning, Started: 1}
	if len(CheckNotRun(refused, []leaf.Execution{cancelled})) != 1 {
		t.Error("got no violation for a started attempt, want 1")
	}
	if violations := CheckNotRun(refused, []leaf.Execution{{RequestID: "r", Outcome: leaf.OutcomeRefused}, newExecution("q")}); len(violations) > 0 {
		t.Errorf("refused attempt: got violations %v, want none", violations)
	}
}

func newChange(id string, fate api.ChangeOutcome, revision uint64, from, to int) Change {
	return Change{
		Statement: id, Called: timeAt(from), Returned: timeAt(to),
		Response: &api.StatementResponse{ChangeID: id, Outcome: fate, Revision: revision},
	}
}

// newChangeWithoutReply returns a change whose caller received no response.
func newChangeWithoutReply(statement string, from int) Change {
	return Change{Statement: statement, Called: timeAt(from), Returned: timeAt(from + 5), Err: errors.New("connection reset")}
}

// TestCheckLog checks changes against a log of three entries after revision 4.
func TestCheckLog(t *testing.T) {
	log := []catalog.AppliedChange{{ID: "a", Revision: 5}, {ID: "b", Revision: 6, Statement: "limit x concurrency 7"}, {ID: "c", Revision: 7}}
	b := newChange("b", api.ChangeOutcomeUnknown, 0, 10, 20)
	cases := map[string]struct {
		changes []Change
		valid   bool
	}{
		"in order":              {[]Change{newChange("a", api.ChangeInForce, 5, 0, 9), b, newChange("c", api.ChangeAccepted, 7, 21, 30)}, true},
		"recorded out of order": {[]Change{newChange("c", api.ChangeInForce, 7, 30, 40), b, newChange("a", api.ChangeInForce, 5, 0, 9)}, true},
		"accepted, but not in the log": {[]Change{newChange("a", api.ChangeInForce, 5, 0, 9), b, newChange("c", api.ChangeInForce, 7, 21, 30),
			newChange("d", api.ChangeAccepted, 8, 31, 40)}, false},
		"other revision": {[]Change{newChange("a", api.ChangeInForce, 6, 0, 9), b, newChange("c", api.ChangeInForce, 7, 21, 30)}, false},
		"not accepted, but in the log": {[]Change{newChange("a", api.ChangeInForce, 5, 0, 9), newChange("b", api.ChangeNotAccepted, 6, 10, 20),
			newChange("c", api.ChangeInForce, 7, 21, 30)}, false},
		"against real-time order": {[]Change{newChange("a", api.ChangeInForce, 5, 40, 50), b, newChange("c", api.ChangeInForce, 7, 21, 30)}, false},
		"no reply, but in the log": {[]Change{newChange("a", api.ChangeInForce, 5, 0, 9), newChangeWithoutReply("limit x concurrency 7 if revision 5", 10),
			newChange("c", api.ChangeInForce, 7, 21, 30)}, true},
		"no reply, called too late": {[]Change{newChange("a", api.ChangeInForce, 5, 0, 9), newChangeWithoutReply("limit x concurrency 7", 31),
			newChange("c", api.ChangeInForce, 7, 21, 30)}, false},
		"no reply, log has other statement": {[]Change{newChange("a", api.ChangeInForce, 5, 0, 9), newChangeWithoutReply("limit x concurrency 8", 10),
			newChange("c", api.ChangeInForce, 7, 21, 30)}, false},
	}
	for name, testCase := range cases {
		if violations := CheckLog(testCase.changes, 4, log); (len(violations) == 0) != testCase.valid {
			t.Errorf("%s: got violations %v, want valid = %t", name, violations, testCase.valid)
		}
	}
}

// TestCheckSightingsAndStopped checks both checkers against a change that is acknowledged at 10 ms,
// with a bound of 100 ms.
func TestCheckSightingsAndStopped(t *testing.T) {
	accepted := []Change{newChange("a", api.ChangeAccepted, 5, 0, 10)}
	bound := 100 * time.Millisecond
	cases := map[string]struct {
		sightings []StatusObservation
		valid     bool
	}{
		"in time":                {[]StatusObservation{{Process: "n", Called: timeAt(50), Revision: 4, Fresh: true}, {Process: "n", Called: timeAt(120), Revision: 5, Fresh: true}}, true},
		"late, but not fresh":    {[]StatusObservation{{Process: "n", Called: timeAt(120), Revision: 4}}, true},
		"late":                   {[]StatusObservation{{Process: "n", Called: timeAt(120), Revision: 4, Fresh: true}}, false},
		"revision decreases":     {[]StatusObservation{{Process: "n", Called: timeAt(5), Revision: 5}, {Process: "n", Called: timeAt(6), Revision: 4}}, false},
		"other process is older": {[]StatusObservation{{Process: "n", Called: timeAt(5), Revision: 5}, {Process: "m", Called: timeAt(6), Revision: 4}}, true},
		"no sightings":           {nil, true},
	}
	for name, testCase := range cases {
		if violations := CheckObservations(testCase.sightings, accepted, bound); (len(violations) == 0) != testCase.valid {
			t.Errorf("%s: got violations %v, want valid = %t", name, violations, testCase.valid)
		}
	}
	late := []Submission{newAnswered("r", 111, 112)}
	if len(CheckStopped(late, accepted[0], timeAt(200), bound)) != 1 || len(CheckStopped(late, accepted[0], timeAt(105), bound)) != 0 {
		t.Error("got wrong violations for an answer called 101 ms after the stop, want 1 before the service is started and none after")
	}
}

// TestCheckLeavingCutOffAndCancelled checks the checkers of attempts and of incomplete answers.
func TestCheckLeavingCutOffAndCancelled(t *testing.T) {
	late := leaf.Execution{AttemptID: "a", Outcome: leaf.OutcomeRefused, Arrived: timeAt(5001).UnixMicro()}
	if len(CheckLeaving("leaf", []leaf.Execution{late}, origin, 5*time.Second)) != 1 {
		t.Error("got no violation for a late arrival, want 1")
	}
	if len(CheckLeaving("leaf", []leaf.Execution{late}, origin, 6*time.Second)) != 0 {
		t.Error("got a violation for an arrival within the bound, want none")
	}
	complete := []Submission{newSelectSubmission(), newProblem("r", api.ProblemNotRunDraining, 0, 1)}
	incomplete := []Submission{newSelectSubmission(1), newSubmissionWithoutReply("r", 0, 1), newProblem("r", api.ProblemFailed, 0, 1), newProblem("r", api.ProblemOutcomeUnknown, 0, 1)}
	if violations := CheckNoneAborted(append(complete, incomplete...)); len(violations) != len(incomplete) {
		t.Errorf("got violations %v, want one for each of %d incomplete submissions", violations, len(incomplete))
	}
	cancelled := leaf.Execution{RequestID: "r", Shard: 1, Outcome: leaf.OutcomeCancelledQueued}
	if len(CheckNoneCancelled([]leaf.Execution{cancelled, newExecution("r"), late})) != 1 {
		t.Error("got no violation for a cancelled attempt, want 1")
	}
	replaced := newExecution("r")
	replaced.Shard = 1
	if len(CheckNoneCancelled([]leaf.Execution{cancelled, replaced})) != 0 {
		t.Error("got a violation for an attempt that was replaced by another, want none")
	}
}
