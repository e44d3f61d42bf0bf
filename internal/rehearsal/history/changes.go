package history

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// logModel is the sequential specification of the change log for porcupine. The state is the newest
// revision, and each append must produce the next one.
func logModel(base uint64) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return base },
		Step: func(state, input, _ any) (bool, any) {
			revision := input.(uint64)
			return revision == state.(uint64)+1, revision
		},
	}
}

// CheckLog checks the responses that operators received against the log that the nodes hold at the
// end. Each accepted change must be in the log at the revision of its response, a change that was
// not accepted must be absent, and the log must be a linearizable order of the changes. Base is the
// revision before the first change. The log must not contain changes from other sources.
func CheckLog(changes []Change, base uint64, log []catalog.AppliedChange) []Violation {
	revisions := matchRevisions(changes, log)
	var violations []Violation
	var operations []porcupine.Operation
	for index, change := range changes {
		revision, applied := revisions[index]
		if detail := describeFateMismatch(change, revision, applied); detail != "" {
			violations = append(violations, Violation{Guarantee: "log", Subject: change.Statement, Detail: detail})
		}
		if applied {
			operations = append(operations, newAppendOperation(change, revision))
		}
	}
	switch porcupine.CheckOperationsTimeout(logModel(base), operations, checkTimeout) {
	case porcupine.Illegal:
		violations = append(violations, Violation{Guarantee: "log", Subject: "order", Detail: "the log is not linearizable: no order lets each change take effect between its call and its return"})
	case porcupine.Unknown:
		violations = append(violations, Violation{Guarantee: "log", Subject: "order", Detail: "unknown: the linearizability check exceeded " + checkTimeout.String()})
	}
	return violations
}

// matchRevisions returns the revision of each change that is in the log, by the index of the
// change. The id of a change without a response is unknown to its operator. Such a change is
// matched with an entry that has its statement and whose id occurs in no response.
func matchRevisions(changes []Change, log []catalog.AppliedChange) map[int]uint64 {
	entries := make(map[string]catalog.AppliedChange, len(log))
	for _, applied := range log {
		entries[applied.ID] = applied
	}
	revisions := make(map[int]uint64)
	for index, change := range changes {
		if change.Response == nil {
			continue
		}
		if applied, ok := entries[change.Response.ChangeID]; ok {
			revisions[index] = applied.Revision
			delete(entries, applied.ID)
		}
	}
	for index, change := range changes {
		if change.Err == nil {
			continue
		}
		for _, applied := range entries {
			if trimCondition(change.Statement) == trimCondition(applied.Statement) {
				revisions[index] = applied.Revision
				delete(entries, applied.ID)
				break
			}
		}
	}
	return revisions
}

// trimCondition returns a statement without its revision condition, which the log does not store.
func trimCondition(statement string) string {
	command, _, _ := strings.Cut(statement, " if revision ")
	return command
}

// describeFateMismatch describes how the response to a change contradicts the log; it returns an
// empty string if they agree.
func describeFateMismatch(change Change, revision uint64, applied bool) string {
	switch {
	case change.Accepted() && !applied:
		return "accepted, but missing from the log"
	case change.Accepted() && change.Response.Revision != revision:
		return fmt.Sprintf("accepted at revision %d, but the log has it at revision %d", change.Response.Revision, revision)
	case change.Response != nil && change.Response.Outcome == api.ChangeNotAccepted && applied:
		return fmt.Sprintf("not accepted, but the log has it at revision %d", revision)
	}
	return ""
}

// newAppendOperation returns the porcupine operation of a change in the log. A change that was not
// acknowledged as accepted may take effect at any time after its call, so its operation never
// returns.
func newAppendOperation(change Change, revision uint64) porcupine.Operation {
	operation := porcupine.Operation{
		ClientId: change.Operator,
		Input:    revision,
		Call:     change.Called.UnixNano(),
		Return:   change.Returned.UnixNano(),
	}
	if !change.Accepted() {
		operation.Return = math.MaxInt64
	}
	return operation
}

// CheckObservations checks that the revision of each process never decreases, and that no process
// accepts work at an outdated revision once the bound has passed since an operator's change was
// acknowledged as accepted. The observations of each process must be in order.
func CheckObservations(sightings []StatusObservation, changes []Change, bound time.Duration) []Violation {
	var violations []Violation
	last := make(map[string]StatusObservation)
	for _, sighting := range sightings {
		if previous := last[sighting.Process]; sighting.Revision < previous.Revision {
			violations = append(violations, Violation{
				Guarantee: "revision", Subject: sighting.Process,
				Detail: fmt.Sprintf("the revision decreased from %d to %d", previous.Revision, sighting.Revision),
			})
		}
		last[sighting.Process] = sighting
		if required := newestAcceptedRevision(changes, sighting.Called.Add(-bound)); sighting.Fresh && sighting.Revision < required {
			violations = append(violations, Violation{
				Guarantee: "in force", Subject: sighting.Process,
				Detail: fmt.Sprintf("accepts work at revision %d, more than %s after revision %d was accepted", sighting.Revision, bound, required),
			})
		}
	}
	return violations
}

// newestAcceptedRevision returns the newest revision whose acceptance was acknowledged before the
// deadline.
func newestAcceptedRevision(changes []Change, deadline time.Time) uint64 {
	var required uint64
	for _, change := range changes {
		if change.Accepted() && change.Returned.Before(deadline) {
			required = max(required, change.Response.Revision)
		}
	}
	return required
}

// CheckStopped checks that no request was answered if it was called after the bound had passed
// since the acknowledgment of "stop service" and before the given time, at which the service is
// started again.
func CheckStopped(submissions []Submission, stopped Change, until time.Time, bound time.Duration) []Violation {
	var violations []Violation
	from := stopped.Returned.Add(bound)
	for _, submission := range submissions {
		if submission.Answer != nil && submission.Called.After(from) && submission.Called.Before(until) {
			violations = append(violations, Violation{
				Guarantee: "in force", Subject: submission.Request.RequestID,
				Detail: fmt.Sprintf("%s answered %s after the service was stopped", submission.Node, submission.Called.Sub(stopped.Returned)),
			})
		}
	}
	return violations
}
