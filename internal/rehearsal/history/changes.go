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

// logModel is the log of changes as a sequential object: its state is the
// newest revision, and an append makes the next one.
func logModel(base uint64) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return base },
		Step: func(state, input, _ any) (bool, any) {
			revision := input.(uint64)
			return revision == state.(uint64)+1, revision
		},
	}
}

// CheckLog checks what operators were told against the log that the nodes hold
// at the end: an accepted change is in it at the revision told, one that was
// not accepted is not, and the log is a linearizable order of the commands.
// Base is the revision before the first of the changes. No other changes may
// have been made.
func CheckLog(changes []Change, base uint64, log []catalog.AppliedChange) []Violation {
	revisions := matchRevisions(changes, log)
	var violations []Violation
	var operations []porcupine.Operation
	for index, change := range changes {
		revision, applied := revisions[index]
		if detail := describeFateMismatch(change, revision, applied); detail != "" {
			violations = append(violations, Violation{Promise: "log", Subject: change.Statement, Detail: detail})
		}
		if applied {
			operations = append(operations, newAppendOperation(change, revision))
		}
	}
	switch porcupine.CheckOperationsTimeout(logModel(base), operations, checkTimeout) {
	case porcupine.Illegal:
		violations = append(violations, Violation{Promise: "log", Subject: "order", Detail: "the log is no order of the commands in which each takes effect between its call and its return"})
	case porcupine.Unknown:
		violations = append(violations, Violation{Promise: "log", Subject: "order", Detail: "not known: the check of the order took over " + checkTimeout.String()})
	}
	return violations
}

// revisionsOf returns the revision of each change that is in the log, by its
// index. A change whose caller got no reply has an id that nobody was told: it
// is the entry with its statement whose id no reply names.
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

// unconditional returns a statement without its condition on the revision,
// which the log does not keep.
func trimCondition(statement string) string {
	command, _, _ := strings.Cut(statement, " if revision ")
	return command
}

func describeFateMismatch(change Change, revision uint64, applied bool) string {
	switch {
	case change.Accepted() && !applied:
		return "accepted, but not in the log"
	case change.Accepted() && change.Response.Revision != revision:
		return fmt.Sprintf("accepted as revision %d, but is %d", change.Response.Revision, revision)
	case change.Response != nil && change.Response.Fate == api.FateNotAccepted && applied:
		return fmt.Sprintf("not accepted, but is revision %d", revision)
	}
	return ""
}

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

// CheckSightings checks that the revision of no process ever fell, and that no
// process took work with an older revision once the bound had passed since an
// operator was told that a change is accepted. Sightings of one process must
// be in order.
func CheckSightings(sightings []Sighting, changes []Change, bound time.Duration) []Violation {
	var violations []Violation
	last := make(map[string]Sighting)
	for _, sighting := range sightings {
		if previous := last[sighting.Process]; sighting.Revision < previous.Revision {
			violations = append(violations, Violation{
				Promise: "revision", Subject: sighting.Process,
				Detail: fmt.Sprintf("fell from %d to %d", previous.Revision, sighting.Revision),
			})
		}
		last[sighting.Process] = sighting
		if required := newestAcceptedRevision(changes, sighting.Called.Add(-bound)); sighting.Fresh && sighting.Revision < required {
			violations = append(violations, Violation{
				Promise: "in force", Subject: sighting.Process,
				Detail: fmt.Sprintf("takes work at revision %d, %s after %d was accepted", sighting.Revision, bound, required),
			})
		}
	}
	return violations
}

// requiredRevision returns the newest revision accepted before a moment.
func newestAcceptedRevision(changes []Change, deadline time.Time) uint64 {
	var required uint64
	for _, change := range changes {
		if change.Accepted() && change.Returned.Before(deadline) {
			required = max(required, change.Response.Revision)
		}
	}
	return required
}

// CheckStopped checks that no request was answered that was called once the
// bound had passed after an accepted "stop service", and before the service
// was started again. Commands must be in order.
func CheckStopped(submissions []Submission, stopped Change, until time.Time, bound time.Duration) []Violation {
	var violations []Violation
	from := stopped.Returned.Add(bound)
	for _, submission := range submissions {
		if submission.Answer != nil && submission.Called.After(from) && submission.Called.Before(until) {
			violations = append(violations, Violation{
				Promise: "in force", Subject: submission.Request.RequestID,
				Detail: fmt.Sprintf("%s answered %s after the service was stopped", submission.Node, submission.Called.Sub(stopped.Returned)),
			})
		}
	}
	return violations
}
