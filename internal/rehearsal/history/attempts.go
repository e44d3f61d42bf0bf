package history

import (
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/rehearsal/leaf"
)

// CheckLeaving checks that no attempt, not even a refused one, arrived at a leaf after the bound
// had passed since the notice that it is leaving.
func CheckLeaving(name string, attempts []leaf.Execution, notice time.Time, bound time.Duration) []Violation {
	var violations []Violation
	for _, attempt := range attempts {
		if delay := time.UnixMicro(attempt.Arrived).Sub(notice); delay > bound {
			violations = append(violations, Violation{
				Guarantee: "leaving leaf", Subject: name,
				Detail: fmt.Sprintf("attempt %s arrived %s after the notice", attempt.AttemptID, delay),
			})
		}
	}
	return violations
}

// LastArrival returns the time from the notice to the last arrival of an attempt, or zero if no
// attempt arrived after the notice.
func LastArrival(attempts []leaf.Execution, notice time.Time) time.Duration {
	var last time.Duration
	for _, attempt := range attempts {
		last = max(last, time.UnixMicro(attempt.Arrived).Sub(notice))
	}
	return last
}

// CheckNoneAborted checks that every request received a complete answer or a response that
// guarantees that it did not run. Every other result means that a request or a response was lost or
// aborted.
func CheckNoneAborted(submissions []Submission) []Violation {
	var violations []Violation
	for _, submission := range submissions {
		complete := submission.Answer != nil && len(submission.Answer.Coverage.Missing) == 0
		if complete || submission.NotRun() || submission.Refused() {
			continue
		}
		violations = append(violations, Violation{Guarantee: "cut off", Subject: submission.Request.RequestID, Detail: submission.Node + ": " + describeEnd(submission)})
	}
	return violations
}

// describeEnd describes the result of a submission for a violation report.
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

// requestShard identifies the part of a request that runs on one shard.
type requestShard struct {
	request string
	shard   int
}

// CheckNoneCancelled checks that no leaf observed the cancellation of an attempt, unless another
// attempt of the same request executed on the same shard. In that case, the cancelled attempt was
// no longer needed.
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
			violations = append(violations, Violation{Guarantee: "cut off", Subject: attempt.RequestID, Detail: string(attempt.Outcome)})
		}
	}
	return violations
}
