package simulation

import (
	"fmt"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// Violation names a promise that a run broke.
type Violation string

// The promises that every run checks.
const (
	// ViolationSnapshot: an answer merged a reply of another snapshot.
	ViolationSnapshot Violation = "snapshot"
	// ViolationCoverage: the coverage was not what was merged.
	ViolationCoverage Violation = "coverage"
	// ViolationNotRun: a request that was called not run did run.
	ViolationNotRun Violation = "not_run"
	// ViolationOnce: a request that may not be repeated ran twice, or ran and
	// was called failed.
	ViolationAtMostOnce Violation = "at_most_once"
	// ViolationLeaving: a leaving leaf got new work after the bound.
	ViolationLeaving Violation = "leaving"
	// ViolationFinish: a query was finished twice, late or never.
	ViolationFinish Violation = "finish"
	// ViolationAction: an action made no sense to the driver.
	ViolationAction Violation = "action"
)

// finishTolerance is how long after its deadline a query may be finished.
const finishTolerance = minimumTick

// keptExamples bounds the descriptions kept of each violation.
const maxExamples = 3

// violate counts a broken promise.
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

// checkFinish checks an answer against what the leaves sent.
func (s *simulator) checkFinish(n *node, q *query) {
	finish := &q.finish
	s.checkDeadline(n, q)
	if finish.Outcome == dispatch.OutcomeNotRun && len(finish.Answered) > 0 {
		s.recordViolation(ViolationNotRun, "query %d: not run, with answers", q.index)
	}
	if finish.Outcome != dispatch.OutcomeAnswered && finish.Outcome != dispatch.OutcomePartial {
		return
	}
	covered := s.checkReplies(n, q)
	for _, shard := range finish.Missing {
		if !covered.add(shard) {
			s.recordViolation(ViolationCoverage, "query %d: shard %d answered and missing", q.index, shard)
		}
	}
	s.checkCoverage(q, covered)
}

// checkDeadline allows a late finish only to a node that was frozen.
func (s *simulator) checkDeadline(n *node, q *query) {
	late := q.finishedAt > q.deadline+finishTolerance
	if late && n.thawAt < q.deadline {
		s.recordViolation(ViolationFinish, "query %d: finished %s after its deadline", q.index, q.finishedAt-q.deadline)
	}
}

// checkAnswered checks each merged reply and returns the shards they cover.
func (s *simulator) checkReplies(n *node, q *query) shardSet {
	var covered shardSet
	for _, answer := range q.finish.Answered {
		a := n.attempts[answer.Attempt]
		if a == nil || a.query != q || a.receivedReply == nil {
			s.recordViolation(ViolationCoverage, "query %d: shard %d has no reply of its own", q.index, answer.Shard)
			continue
		}
		if a.receivedReply.snapshot != q.finish.Snapshot {
			s.recordViolation(ViolationSnapshot, "query %d: shard %d is of %v, the answer of %v", q.index, answer.Shard, a.receivedReply.snapshot, q.finish.Snapshot)
		}
		if a.receivedReply.shard != answer.Shard || !covered.add(answer.Shard) {
			s.recordViolation(ViolationCoverage, "query %d: shard %d merged wrongly", q.index, answer.Shard)
		}
	}
	return covered
}

// checkTotal checks that answered and missing shards are the needed ones.
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
			s.recordViolation(ViolationCoverage, "query %d: its shard is neither answered nor missing", q.index)
		}
	}
	reported := len(finish.Answered) + len(finish.Missing)
	complete := len(finish.Missing) == 0
	if finish.Total != required || reported != required || complete != (finish.Outcome == dispatch.OutcomeAnswered) {
		s.recordViolation(ViolationCoverage, "query %d: %s with %d answered, %d missing of %d; needed %d",
			q.index, finish.Outcome, len(finish.Answered), len(finish.Missing), finish.Total, required)
	}
}

// noteReceived counts work that reaches a leaf and checks that it may. A node
// that was frozen learns of the leaving when it thaws.
func (s *simulator) recordReceived(l *emulatedLeaf, received *work) {
	now := s.engine.now
	l.received++
	since := max(l.leavingSince, received.attempt.node.thawAt)
	if l.leaving && now > since+leavingBound {
		s.recordViolation(ViolationLeaving, "leaf %d got work %s after it was leaving", l.index, now-l.leavingSince)
	}
}

// noteStarted counts an execution and checks that it may be one more.
func (s *simulator) recordExecution(l *emulatedLeaf, started *work) {
	q := started.attempt.query
	q.executions++
	l.executed++
	if s.config.Service.Classes[q.class].Kind == KindOnce && q.executions > 1 {
		s.recordViolation(ViolationAtMostOnce, "query %d ran %d times", q.index, q.executions)
	}
}

// checkEnd checks what only shows at the end of a run.
func (s *simulator) checkAfterRun() {
	for _, q := range s.queries {
		switch {
		case q.lost:
		case !q.finished:
			if q.node != nil {
				s.recordViolation(ViolationFinish, "query %d was never finished", q.index)
			}
		case q.finish.Outcome == dispatch.OutcomeNotRun && q.executions > 0:
			s.recordViolation(ViolationNotRun, "query %d was called not run (%s) and ran %d times", q.index, q.finish.Reason, q.executions)
		}
	}
}
