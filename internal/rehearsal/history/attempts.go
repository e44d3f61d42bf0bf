package history

import (
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/leaf"
)

// CheckLeaving checks that no attempt arrived at a leaf, not even one that it
// refused, once the bound had passed after the notice that it is leaving.
func CheckLeaving(name string, attempts []leaf.Execution, notice time.Time, bound time.Duration) []Violation {
	var violations []Violation
	for _, attempt := range attempts {
		if delay := time.UnixMicro(attempt.Arrived).Sub(notice); delay > bound {
			violations = append(violations, Violation{
				Promise: "leaving leaf", Subject: name,
				Detail: fmt.Sprintf("attempt %s arrived %s after the word", attempt.AttemptID, delay),
			})
		}
	}
	return violations
}

// LastArrival returns how long after the notice the last attempt arrived; zero
// if none did.
func LastArrival(attempts []leaf.Execution, notice time.Time) time.Duration {
	var last time.Duration
	for _, attempt := range attempts {
		last = max(last, time.UnixMicro(attempt.Arrived).Sub(notice))
	}
	return last
}

// CheckNothingCutOff checks that every request got its whole answer, or was
// told that it ran nowhere: none was lost on its way, on either side.
func CheckNothingCutOff(submissions []Submission) []Violation {
	var violations []Violation
	for _, submission := range submissions {
		complete := submission.Answer != nil && len(submission.Answer.Coverage.Missing) == 0
		if complete || submission.NotRun() || submission.Refused() {
			continue
		}
		violations = append(violations, Violation{Promise: "cut off", Subject: submission.Request.RequestID, Detail: submission.Node + ": " + describeEnd(submission)})
	}
	return violations
}

// endOf says how a submission ended, for the one who looks into a broken promise.
func describeEnd(submission Submission) string {
	duration := submission.Returned.Sub(submission.Called).Round(time.Millisecond)
	switch {
	case submission.Err != nil:
		return fmt.Sprintf("%s after %v: %v", submission.Fate(), duration, submission.Err)
	case submission.Problem != nil:
		return fmt.Sprintf("%s of class %s after %v: %s, %s", submission.Fate(), submission.Request.Class, duration, submission.Problem.Reason, submission.Problem.Detail)
	}
	return fmt.Sprintf("%s after %v", submission.Fate(), duration)
}

// piece is the work of one request on one shard.
type requestShard struct {
	request string
	shard   int
}

// CheckNoneCancelled checks that no leaf saw the caller of an attempt go away,
// unless another attempt did the same work: then it was not cut off, but not
// needed any more.
func CheckNoneCancelled(attempts []leaf.Execution) []Violation {
	executed := make(map[requestShard]bool)
	for _, attempt := range attempts {
		if attempt.Outcome == leaf.OutcomeExecuted {
			executed[requestShard{attempt.RequestID, attempt.Shard}] = true
		}
	}
	var violations []Violation
	for _, attempt := range attempts {
		cancelled := attempt.Outcome == leaf.OutcomeCancelledQueued || attempt.Outcome == leaf.OutcomeCancelledRunning
		if cancelled && !executed[requestShard{attempt.RequestID, attempt.Shard}] {
			violations = append(violations, Violation{Promise: "cut off", Subject: attempt.RequestID, Detail: string(attempt.Outcome)})
		}
	}
	return violations
}
