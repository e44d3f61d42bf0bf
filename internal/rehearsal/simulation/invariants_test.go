package simulation

import (
	"fmt"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// Violation names the invariant that a run violated.
type Violation string

// These invariants are checked in every run.
const (
	// ViolationSnapshot: an answer contains a reply from another snapshot.
	ViolationSnapshot Violation = "snapshot"
	// ViolationCoverage: the reported coverage differs from the merged replies.
	ViolationCoverage Violation = "coverage"
	// ViolationNotRun: a query that was reported as not run was executed.
	ViolationNotRun Violation = "not_run"
	// ViolationAtMostOnce: a query that must not be repeated was executed more than once.
	ViolationAtMostOnce Violation = "at_most_once"
	// ViolationLeaving: a leaving leaf received new work after leavingBound.
	ViolationLeaving Violation = "leaving"
	// ViolationFinish: a query was finished twice, late or never, or was not submitted.
	ViolationFinish Violation = "finish"
	// ViolationAction: the node cannot carry out an action of its Decider.
	ViolationAction Violation = "action"
)

// finishTolerance is how long after its deadline a query may be finished.
const finishTolerance = minimumTick

// maxExamples bounds the descriptions that a Result keeps of each violation.
const maxExamples = 3

// recordViolation counts a violation and keeps the first maxExamples descriptions.
func (s *simulator) recordViolation(violation Violation, format string, arguments ...any) {
	if s.result.Violations == nil {
		s.result.Violations = make(map[Violation]int)
	}
	s.result.Violations[violation]++
	if s.result.Violations[violation] <= maxExamples {
		description := fmt.Sprintf(format, arguments...)
		s.result.Examples = append(s.result.Examples, fmt.Sprintf("%s at %s: %s", violation, s.engine.now, description))
	}
}

// checkFinish compares a finished query with the replies that its leaves sent.
func (s *simulator) checkFinish(n *node, q *query) {
	finish := &q.finish
	s.checkDeadline(n, q)
	if finish.Outcome == dispatch.OutcomeNotRun && len(finish.Answered) > 0 {
		s.recordViolation(ViolationNotRun, "query %d: reported as not run with answers", q.index)
	}
	if finish.Outcome != dispatch.OutcomeAnswered && finish.Outcome != dispatch.OutcomePartial {
		return
	}
	covered := s.checkReplies(n, q)
	for _, shard := range finish.Missing {
		if !covered.add(shard) {
			s.recordViolation(ViolationCoverage, "query %d: shard %d is both answered and missing", q.index, shard)
		}
	}
	s.checkCoverage(q, covered)
}

// checkDeadline checks that the query was finished by its deadline. Only a node that was frozen at
// the deadline may finish it later.
func (s *simulator) checkDeadline(n *node, q *query) {
	late := q.finishedAt > q.deadline+finishTolerance
	if late && n.thawAt < q.deadline {
		s.recordViolation(ViolationFinish, "query %d: finished %s after its deadline", q.index, q.finishedAt-q.deadline)
	}
}

// checkReplies checks each merged reply and returns the shards that the replies cover.
func (s *simulator) checkReplies(n *node, q *query) shardSet {
	var covered shardSet
	for _, answer := range q.finish.Answered {
		a := n.attempts[answer.Attempt]
		if a == nil || a.query != q || a.receivedReply == nil {
			s.recordViolation(ViolationCoverage, "query %d: answer for shard %d has no reply to this query", q.index, answer.Shard)
			continue
		}
		if a.receivedReply.snapshot != q.finish.Snapshot {
			s.recordViolation(ViolationSnapshot, "query %d: reply of shard %d is from snapshot %v, the answer from %v", q.index, answer.Shard, a.receivedReply.snapshot, q.finish.Snapshot)
		}
		if a.receivedReply.shard != answer.Shard || !covered.add(answer.Shard) {
			s.recordViolation(ViolationCoverage, "query %d: shard %d is merged twice or from the reply of another shard", q.index, answer.Shard)
		}
	}
	return covered
}

// checkCoverage checks that the answered and the missing shards together are the required ones.
func (s *simulator) checkCoverage(q *query, covered shardSet) {
	finish := &q.finish
	shardCount := s.shardCount(finish.Snapshot.Epoch)
	if shardCount == 0 {
		s.recordViolation(ViolationCoverage, "query %d: unknown epoch %d", q.index, finish.Snapshot.Epoch)
		return
	}
	required := shardCount
	if s.config.Service.Classes[q.class].Keyed() {
		required = 1
		if covered.add(int(q.keyHash % uint64(shardCount))) {
			s.recordViolation(ViolationCoverage, "query %d: the shard of its key is neither answered nor missing", q.index)
		}
	}
	reported := len(finish.Answered) + len(finish.Missing)
	complete := len(finish.Missing) == 0
	if finish.Total != required || reported != required || complete != (finish.Outcome == dispatch.OutcomeAnswered) {
		s.recordViolation(ViolationCoverage, "query %d: outcome %s with %d shards answered and %d missing of %d, want %d",
			q.index, finish.Outcome, len(finish.Answered), len(finish.Missing), finish.Total, required)
	}
}

// recordReceived counts work that arrives at a leaf and checks that the leaf may still receive it.
// A frozen node learns that a leaf is leaving only when it thaws.
func (s *simulator) recordReceived(l *emulatedLeaf, received *work) {
	now := s.engine.now
	l.received++
	since := max(l.leavingSince, received.attempt.node.thawAt)
	if l.leaving && now > since+leavingBound {
		s.recordViolation(ViolationLeaving, "leaf %d received work %s after it began to leave", l.index, now-l.leavingSince)
	}
}

// recordExecution counts an execution and checks that a query that must not be repeated has only
// one.
func (s *simulator) recordExecution(l *emulatedLeaf, started *work) {
	q := started.attempt.query
	q.executions++
	l.executed++
	if s.config.Service.Classes[q.class].Kind == KindOnce && q.executions > 1 {
		s.recordViolation(ViolationAtMostOnce, "query %d was executed %d times, want at most once", q.index, q.executions)
	}
}

// checkAfterRun checks for queries that were never finished, and for executions of queries that
// were reported as not run.
func (s *simulator) checkAfterRun() {
	for _, q := range s.queries {
		switch {
		case q.lost:
		case !q.finished:
			if q.node != nil {
				s.recordViolation(ViolationFinish, "query %d was never finished", q.index)
			}
		case q.finish.Outcome == dispatch.OutcomeNotRun && q.executions > 0:
			s.recordViolation(ViolationNotRun, "query %d was reported as not run (%s) but executed %d times", q.index, q.finish.Reason, q.executions)
		}
	}
}
