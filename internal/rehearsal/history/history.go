// Package history is test support: no program imports it. It records the operations of callers,
// operators and leaves on a deployment and checks the recorded history against the guarantees of
// micaplank.
//
// The checkers are independent of the implementation of a node. They use only requests, answers,
// the execution logs of the leaves and the generated data.
package history

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// notRunPrefix is the common prefix of the problem types that guarantee that a request did not run
// on any leaf.
const notRunPrefix = "urn:micaplank:problem:not-run-"

// Violation is a guarantee that the history violates.
type Violation struct {
	// Guarantee names the violated guarantee.
	Guarantee string
	// Subject identifies the request, change, leaf or process.
	Subject string
	Detail  string
}

// String returns the guarantee, the subject and the detail.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Guarantee, v.Subject, v.Detail)
}

// Submission is a caller's request and its result. Exactly one of Answer, Problem and Err is set.
type Submission struct {
	// Caller identifies the caller, which submits its requests sequentially.
	Caller int
	// Node is the name of the node that the request was sent to.
	Node    string
	Service string
	Request api.QueryRequest
	// Filter is the condition of a select; it is nil for an insert.
	Filter   *Filter
	Called   time.Time
	Returned time.Time
	Answer   *api.QueryResponse
	Problem  *api.Problem
	// Err is set if the caller received no response.
	Err error
}

// RecordResult records the result and the time of its arrival. An error that is not a problem
// document counts as a missing response.
func (s *Submission) RecordResult(answer *api.QueryResponse, err error) {
	s.Returned = time.Now()
	switch {
	case err == nil:
		s.Answer = answer
	case errors.As(err, &s.Problem):
	default:
		s.Err = err
	}
}

// NotRun reports whether the response guarantees that the request did not run on any leaf.
func (s Submission) NotRun() bool {
	return s.Problem != nil && (s.Problem.Outcome == dispatch.OutcomeNotRun || strings.HasPrefix(string(s.Problem.Type), notRunPrefix))
}

// Refused reports whether the response guarantees that this submission did not run on any leaf. An
// earlier submission of the same id may have run.
func (s Submission) Refused() bool {
	return s.Problem != nil && s.Problem.Type == api.ProblemUnavailable
}

// Fate returns a short name of the result for reports.
func (s Submission) Fate() string {
	switch {
	case s.Answer != nil:
		return string(s.Answer.Outcome)
	case s.Err != nil:
		return "no reply"
	}
	return strings.TrimPrefix(string(s.Problem.Type), "urn:micaplank:problem:")
}

// Change is an operator's statement and its result. Exactly one of Response, Problem and Err is
// set.
type Change struct {
	Operator  int
	Node      string
	Statement string
	Called    time.Time
	Returned  time.Time
	Response  *api.StatementResponse
	Problem   *api.Problem
	Err       error
}

// RecordResult records the result and the time of its arrival. An error that is not a problem
// document counts as a missing response.
func (c *Change) RecordResult(response *api.StatementResponse, err error) {
	c.Returned = time.Now()
	switch {
	case err == nil:
		c.Response = response
	case errors.As(err, &c.Problem):
	default:
		c.Err = err
	}
}

// Accepted reports whether the response guarantees that the change took effect and never reverts.
func (c Change) Accepted() bool {
	return c.Response != nil && (c.Response.Outcome == api.ChangeInForce || c.Response.Outcome == api.ChangeAccepted)
}

// Undecided reports whether the response contains the id of a change that may or may not take
// effect.
func (c Change) Undecided() bool {
	return c.Response != nil && c.Response.Outcome == api.ChangeOutcomeUnknown
}

// StatusObservation is an observation of the status of a node process.
type StatusObservation struct {
	// Process identifies the process. A replacement in the same slot has another value than its
	// predecessor.
	Process  string
	Called   time.Time
	Returned time.Time
	Revision uint64
	// Fresh reports whether the node accepts work.
	Fresh bool
}

// Recorder collects a history. It is safe for concurrent use.
type Recorder struct {
	mutex       sync.Mutex
	submissions []Submission
	changes     []Change
	sightings   []StatusObservation
}

// RecordSubmission records a request with its result.
func (r *Recorder) RecordSubmission(submission Submission) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.submissions = append(r.submissions, submission)
}

// RecordChange records a change with its result.
func (r *Recorder) RecordChange(change Change) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.changes = append(r.changes, change)
}

// RecordObservation records an observation of a node.
func (r *Recorder) RecordObservation(sighting StatusObservation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sightings = append(r.sightings, sighting)
}

// Submissions returns a copy of the recorded requests.
func (r *Recorder) Submissions() []Submission {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Submission(nil), r.submissions...)
}

// Changes returns a copy of the recorded changes.
func (r *Recorder) Changes() []Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Change(nil), r.changes...)
}

// Observations returns a copy of the recorded observations.
func (r *Recorder) Observations() []StatusObservation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]StatusObservation(nil), r.sightings...)
}

// Fates returns the number of recorded requests by Submission.Fate.
func (r *Recorder) Fates() map[string]int {
	fates := make(map[string]int)
	for _, submission := range r.Submissions() {
		fates[submission.Fate()]++
	}
	return fates
}
