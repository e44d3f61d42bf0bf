// Package shutdown decides what a node does when, from the signal of a planned stop to the end of its
// process.
//
// Rule: the node takes connections for the drain delay, so that clients reach it until the platform
// sends them elsewhere. Each request has its final answer shortly before the platform kills the
// process, and the process ends by itself before.
//
// Inputs: the time that the platform allows for a stop and the drain delay (durations from the
// signal on).
//
// Reason: a request that the end of the process cuts off leaves its client without an answer, and
// without knowing whether it ran.
package shutdown

import "time"

const (
	// exitMargin is the time before the kill that is kept for writing the final answers and for the
	// end of the process.
	exitMargin = 400 * time.Millisecond
	// maxMarginShare bounds exitMargin by a share of the time that the platform allows.
	maxMarginShare = 1.0 / 6
	// exitShare is the share of the margin that is kept for the end of the process.
	exitShare = 0.25
)

// Schedule holds the times of a planned stop, as durations from the signal on.
type Schedule struct {
	// CloseAfter is when the node stops accepting connections and closes idle ones.
	CloseAfter time.Duration
	// AnswerBy is when each request has its final answer.
	AnswerBy time.Duration
	// ExitBy is when the process ends, even if a connection is still in use.
	ExitBy time.Duration
}

// Plan returns the schedule of a stop for which the platform allows the given time.
func Plan(allowed, drainDelay time.Duration) Schedule {
	margin := min(exitMargin, time.Duration(maxMarginShare*float64(allowed)))
	answerBy := allowed - margin
	return Schedule{
		CloseAfter: min(drainDelay, answerBy),
		AnswerBy:   answerBy,
		ExitBy:     allowed - time.Duration(exitShare*float64(margin)),
	}
}
