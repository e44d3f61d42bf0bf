package history

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/rehearsal/leaf"
)

// checkTimeout bounds the search for an order of one history.
const checkTimeout = 20 * time.Second

// CheckNotRun checks that no request of which a caller was told "not run" was
// started on any leaf, whatever became of it there. Request ids must not
// repeat; CheckOnce is for those that do.
func CheckNotRun(submissions []Submission, attempts []leaf.Execution) []Violation {
	started := make(map[string]leaf.Execution)
	for _, attempt := range attempts {
		if attempt.Started > 0 {
			started[attempt.RequestID] = attempt
		}
	}
	var violations []Violation
	for _, submission := range submissions {
		attempt, ok := started[submission.Request.RequestID]
		if submission.NotRun() && ok {
			violations = append(violations, Violation{
				Promise: "not run", Subject: submission.Request.RequestID,
				Detail: fmt.Sprintf("%s by %s, but shard %d: %s", submission.Fate(), submission.Node, attempt.Shard, attempt.Outcome),
			})
		}
	}
	return violations
}

// onceKind is what one operation on a request id is.
type onceOperationKind int

const (
	onceAnswered onceOperationKind = iota
	onceNotRun
	onceRefused
	onceUnknown
	// onceAudit reads the leaves' logs when everything is over.
	onceAudit
)

type onceInput struct {
	id   string
	kind onceOperationKind
	// executions is what an audit found.
	executions int
}

// onceModel is a request id as a sequential object: its state says whether the
// request has run. A submission takes effect at one moment between its call
// and its return; one that is unknown, at any later moment or never.
var onceModel = porcupine.NondeterministicModel{
	Partition: partitionByRequestID,
	Init:      func() []any { return []any{false} },
	Step:      stepOnceModel,
	DescribeOperation: func(input, _ any) string {
		return fmt.Sprintf("%+v", input)
	},
}

func stepOnceModel(state, input, _ any) []any {
	ran := state.(bool)
	operation := input.(onceInput)
	switch operation.kind {
	case onceAnswered:
		return []any{true} // it runs now, or the recorded answer is replayed
	case onceNotRun:
		return statesIf(!ran, ran)
	case onceRefused:
		return []any{ran}
	case onceUnknown:
		if ran {
			return []any{true}
		}
		return []any{false, true}
	}
	expected := 0
	if ran {
		expected = 1
	}
	return statesIf(operation.executions == expected, ran)
}

func statesIf(allowed, state bool) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

func partitionByRequestID(history []porcupine.Operation) [][]porcupine.Operation {
	slices.SortStableFunc(history, func(a, b porcupine.Operation) int {
		return cmp.Compare(a.Input.(onceInput).id, b.Input.(onceInput).id)
	})
	var parts [][]porcupine.Operation
	for index, operation := range history {
		if index == 0 || history[index-1].Input.(onceInput).id != operation.Input.(onceInput).id {
			parts = append(parts, nil)
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], operation)
	}
	return parts
}

// CheckOnce checks requests that may run at most once, by porcupine: for each
// id there is an order of its submissions in which it runs at most once, each
// "answered" after it ran, each "not run" before, and the leaves' logs agree.
// The attempts must have been read when no submission could run any more.
func CheckOnce(submissions []Submission, attempts []leaf.Execution) []Violation {
	executions := make(map[string]int)
	for _, attempt := range attempts {
		if attempt.Outcome == leaf.OutcomeExecuted {
			executions[attempt.RequestID]++
		}
	}
	histories := make(map[string][]porcupine.Operation)
	for _, submission := range submissions {
		id := submission.Request.RequestID
		histories[id] = append(histories[id], newOnceOperation(submission))
	}
	var violations []Violation
	for id, operations := range histories {
		operations = append(operations, newOnceAudit(id, executions[id]))
		if porcupine.CheckOperationsTimeout(onceModel.ToModel(), operations, checkTimeout) == porcupine.Ok {
			continue
		}
		violations = append(violations, Violation{
			Promise: "at most once", Subject: id,
			Detail: fmt.Sprintf("%d executions; submissions: %s", executions[id], describeSubmissions(submissions, id)),
		})
	}
	return violations
}

func newOnceOperation(submission Submission) porcupine.Operation {
	operation := porcupine.Operation{
		ClientId: submission.Caller,
		Input:    onceInput{id: submission.Request.RequestID, kind: classifySubmission(submission)},
		Call:     submission.Called.UnixNano(),
		Return:   submission.Returned.UnixNano(),
	}
	if operation.Input.(onceInput).kind == onceUnknown {
		operation.Return = math.MaxInt64 - 2
	}
	return operation
}

func newOnceAudit(id string, executions int) porcupine.Operation {
	return porcupine.Operation{
		Input:  onceInput{id: id, kind: onceAudit, executions: executions},
		Call:   math.MaxInt64 - 1,
		Return: math.MaxInt64,
	}
}

func classifySubmission(submission Submission) onceOperationKind {
	switch {
	case submission.Answer != nil && submission.Answer.Outcome == dispatch.OutcomeAnswered:
		return onceAnswered
	case submission.NotRun():
		return onceNotRun
	case submission.Refused():
		return onceRefused
	}
	return onceUnknown
}

func describeSubmissions(submissions []Submission, id string) string {
	var text string
	for _, submission := range submissions {
		if submission.Request.RequestID == id {
			text += fmt.Sprintf("[%s at %s, %s to %s]", submission.Fate(), submission.Node,
				submission.Called.Format("05.000"), submission.Returned.Format("05.000"))
		}
	}
	return text
}
