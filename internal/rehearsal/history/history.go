// Package history is test support: no program imports it. It records what callers,
// operators and leaves saw of a deployment, and checks the recorded history against the promises that
// micaplank gives. It knows nothing of how a node works: the checkers use only
// requests, answers, the leaves' execution logs and the generated data.
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

// notRunPrefix is common to all problem types that promise that a request ran
// nowhere.
const notRunPrefix = "urn:micaplank:problem:not-run-"

// Violation is one promise found broken.
type Violation struct {
	// Promise is the name of the checker.
	Promise string
	// Subject is the request, change, leaf or process concerned.
	Subject string
	Detail  string
}

// String names the promise, the subject and what was found.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Promise, v.Subject, v.Detail)
}

// Submission is one request of a caller, with what came of it: exactly one of
// Answer, Problem and Err is set.
type Submission struct {
	// Caller names the caller; it submits one request after the other.
	Caller int
	// Node is the name of the node that the request was sent to.
	Node    string
	Service string
	Request api.QueryRequest
	// Filter says which rows a select asks for; nil for an insert.
	Filter   *Filter
	Called   time.Time
	Returned time.Time
	Answer   *api.QueryResponse
	Problem  *api.Problem
	// Err means that no reply came.
	Err error
}

// End notes the reply. An error that is not a problem document counts as no
// reply.
func (s *Submission) End(answer *api.QueryResponse, err error) {
	s.Returned = time.Now()
	switch {
	case err == nil:
		s.Answer = answer
	case errors.As(err, &s.Problem):
	default:
		s.Err = err
	}
}

// NotRun reports whether the caller received the answer that the request ran nowhere.
func (s Submission) NotRun() bool {
	return s.Problem != nil && (s.Problem.Outcome == dispatch.OutcomeNotRun || strings.HasPrefix(string(s.Problem.Type), notRunPrefix))
}

// Refused reports whether the caller received the answer that this submission ran
// nowhere; an earlier one of the same id may have.
func (s Submission) Refused() bool {
	return s.Problem != nil && s.Problem.Type == api.ProblemUnavailable
}

// Fate is one word for the answer that the caller received.
func (s Submission) Fate() string {
	switch {
	case s.Answer != nil:
		return string(s.Answer.Outcome)
	case s.Err != nil:
		return "no reply"
	}
	return strings.TrimPrefix(string(s.Problem.Type), "urn:micaplank:problem:")
}

// Change is one command of an operator, with what came of it: exactly one of
// Response, Problem and Err is set.
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

// End notes the reply.
func (c *Change) End(response *api.StatementResponse, err error) {
	c.Returned = time.Now()
	switch {
	case err == nil:
		c.Response = response
	case errors.As(err, &c.Problem):
	default:
		c.Err = err
	}
}

// Accepted reports whether the operator received the answer that the change took effect
// and never reverts.
func (c Change) Accepted() bool {
	return c.Response != nil && (c.Response.Fate == api.FateInForce || c.Response.Fate == api.FateAccepted)
}

// Unsettled reports whether the operator received, with an id, the answer that the change
// may or may not take effect.
func (c Change) Unsettled() bool {
	return c.Response != nil && c.Response.Fate == api.FateUnknown
}

// Sighting is one look at the status of a node process.
type Sighting struct {
	// Process names the process, so that a replacement of the same slot is
	// told from its predecessor.
	Process  string
	Called   time.Time
	Returned time.Time
	Revision uint64
	// Fresh says that the node takes work.
	Fresh bool
}

// Recorder gathers a history. It is safe for concurrent use.
type Recorder struct {
	mutex       sync.Mutex
	submissions []Submission
	changes     []Change
	sightings   []Sighting
}

// Submitted records a request that has ended.
func (r *Recorder) Submitted(submission Submission) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.submissions = append(r.submissions, submission)
}

// Changed records a command that has ended.
func (r *Recorder) Changed(change Change) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.changes = append(r.changes, change)
}

// Saw records a look at a node.
func (r *Recorder) Saw(sighting Sighting) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sightings = append(r.sightings, sighting)
}

// Submissions returns the requests recorded so far.
func (r *Recorder) Submissions() []Submission {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Submission(nil), r.submissions...)
}

// Changes returns the commands recorded so far.
func (r *Recorder) Changes() []Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Change(nil), r.changes...)
}

// Sightings returns the looks at nodes recorded so far.
func (r *Recorder) Sightings() []Sighting {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Sighting(nil), r.sightings...)
}

// Fates counts the requests by what their callers were told.
func (r *Recorder) Fates() map[string]int {
	fates := make(map[string]int)
	for _, submission := range r.Submissions() {
		fates[submission.Fate()]++
	}
	return fates
}
