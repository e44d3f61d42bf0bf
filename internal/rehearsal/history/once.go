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

// checkTimeout bounds the linearizability check of one history.
const checkTimeout = 20 * time.Second

// CheckNotRun checks that no leaf started a request whose caller received "not run", regardless of
// how the attempt ended. Request ids must be unique; CheckOnce handles repeated ids.
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
				Guarantee: "not run", Subject: submission.Request.RequestID,
				Detail: fmt.Sprintf("%s reported %s, but the attempt on shard %d was started: %s", submission.Node, submission.Fate(), attempt.Shard, attempt.Outcome),
			})
		}
	}
	return violations
}

// onceOperationKind is the kind of an operation on a request id.
type onceOperationKind int

const (
	onceAnswered onceOperationKind = iota
	onceNotRun
	onceRefused
	onceUnknown
	// onceAudit reads the execution logs of the leaves at the end of the history.
	onceAudit
)

// onceInput is the input of a porcupine operation on a request id.
type onceInput struct {
	id   string
	kind onceOperationKind
	// executions is the number of executions that an audit read from the logs.
	executions int
}

// onceModel is the sequential specification of a request id. The state records whether the request
// has run. A submission takes effect at one point between its call and its return. A submission
// whose outcome is unknown takes effect at any later point or never.
var onceModel = porcupine.NondeterministicModel{
	Partition: partitionByRequestID,
	Init:      func() []any { return []any{false} },
	Step:      stepOnceModel,
	DescribeOperation: func(input, _ any) string {
		return fmt.Sprintf("%+v", input)
	},
}

// stepOnceModel returns the possible states after an operation, or none if the operation
// contradicts the state.
func stepOnceModel(state, input, _ any) []any {
	ran := state.(bool)
	operation := input.(onceInput)
	switch operation.kind {
	case onceAnswered:
		return []any{true} // the request runs now, or its recorded answer is replayed
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

// statesIf returns the state if the operation is allowed in it, otherwise no state.
func statesIf(allowed, state bool) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

// partitionByRequestID splits a history into one history for each request id.
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

// CheckOnce checks with porcupine that requests ran at most once. For each id, there must be an
// order of the submissions in which the request runs at most once, each answer follows its run,
// each "not run" precedes it, and the number of executions agrees with the execution logs. The
// attempts must have been read when no submission could run any more.
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
			Guarantee: "at most once", Subject: id,
			Detail: fmt.Sprintf("%d executions; submissions: %s", executions[id], describeSubmissions(submissions, id)),
		})
	}
	return violations
}

// newOnceOperation returns the porcupine operation of a submission. An operation with unknown
// outcome returns just before the audit, since it may take effect at any time after its call.
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

// newOnceAudit returns the operation that reads the number of executions after all submissions.
func newOnceAudit(id string, executions int) porcupine.Operation {
	return porcupine.Operation{
		Input:  onceInput{id: id, kind: onceAudit, executions: executions},
		Call:   math.MaxInt64 - 1,
		Return: math.MaxInt64,
	}
}

// classifySubmission returns the kind of operation for the reply that the caller received.
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

// describeSubmissions lists the fates and the times of the submissions of a request id.
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
