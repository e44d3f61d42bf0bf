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
	ViolationOnce Violation = "at_most_once"
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
const keptExamples = 3

// violate counts a broken promise.
func (w *world) violate(violation Violation, format string, arguments ...any) {
	if w.result.Violations == nil {
		w.result.Violations = make(map[Violation]int)
	}
	w.result.Violations[violation]++
	if w.result.Violations[violation] <= keptExamples {
		what := fmt.Sprintf(format, arguments...)
		w.result.Examples = append(w.result.Examples, fmt.Sprintf("%s at %s: %s", violation, w.engine.now, what))
	}
}

// checkFinish checks an answer against what the leaves sent.
func (w *world) checkFinish(n *node, q *query) {
	finish := &q.finish
	w.checkDeadline(n, q)
	if finish.Outcome == dispatch.OutcomeNotRun && len(finish.Answered) > 0 {
		w.violate(ViolationNotRun, "query %d: not run, with answers", q.index)
	}
	if finish.Outcome != dispatch.OutcomeAnswered && finish.Outcome != dispatch.OutcomePartial {
		return
	}
	seen := w.checkAnswered(n, q)
	for _, shard := range finish.Missing {
		if !seen.add(shard) {
			w.violate(ViolationCoverage, "query %d: shard %d answered and missing", q.index, shard)
		}
	}
	w.checkTotal(q, seen)
}

// checkDeadline allows a late finish only to a node that was frozen.
func (w *world) checkDeadline(n *node, q *query) {
	late := q.finishedAt > q.deadline+finishTolerance
	if late && n.thawAt < q.deadline {
		w.violate(ViolationFinish, "query %d: finished %s after its deadline", q.index, q.finishedAt-q.deadline)
	}
}

// checkAnswered checks each merged reply and returns the shards they cover.
func (w *world) checkAnswered(n *node, q *query) shardSet {
	var seen shardSet
	for _, answer := range q.finish.Answered {
		a := n.attempts[answer.Attempt]
		if a == nil || a.query != q || a.replied == nil {
			w.violate(ViolationCoverage, "query %d: shard %d has no reply of its own", q.index, answer.Shard)
			continue
		}
		if a.replied.snapshot != q.finish.Snapshot {
			w.violate(ViolationSnapshot, "query %d: shard %d is of %v, the answer of %v", q.index, answer.Shard, a.replied.snapshot, q.finish.Snapshot)
		}
		if a.replied.shard != answer.Shard || !seen.add(answer.Shard) {
			w.violate(ViolationCoverage, "query %d: shard %d merged wrongly", q.index, answer.Shard)
		}
	}
	return seen
}

// checkTotal checks that answered and missing shards are the needed ones.
func (w *world) checkTotal(q *query, seen shardSet) {
	finish := &q.finish
	shards := w.shards(finish.Snapshot.Epoch)
	if shards == 0 {
		w.violate(ViolationCoverage, "query %d: unknown epoch %d", q.index, finish.Snapshot.Epoch)
		return
	}
	needed := shards
	if w.config.Service.Classes[q.class].Keyed() {
		needed = 1
		if seen.add(int(q.keyHash % uint64(shards))) {
			w.violate(ViolationCoverage, "query %d: its shard is neither answered nor missing", q.index)
		}
	}
	claimed := len(finish.Answered) + len(finish.Missing)
	whole := len(finish.Missing) == 0
	if finish.Total != needed || claimed != needed || whole != (finish.Outcome == dispatch.OutcomeAnswered) {
		w.violate(ViolationCoverage, "query %d: %s with %d answered, %d missing of %d; needed %d",
			q.index, finish.Outcome, len(finish.Answered), len(finish.Missing), finish.Total, needed)
	}
}

// noteReceived counts work that reaches a leaf and checks that it may. A node
// that was frozen learns of the leaving when it thaws.
func (w *world) noteReceived(l *emulatedLeaf, received *work) {
	now := w.engine.now
	l.received++
	since := max(l.leavingSince, received.attempt.node.thawAt)
	if l.leaving && now > since+leavingBound {
		w.violate(ViolationLeaving, "leaf %d got work %s after it was leaving", l.index, now-l.leavingSince)
	}
}

// noteStarted counts an execution and checks that it may be one more.
func (w *world) noteStarted(l *emulatedLeaf, started *work) {
	q := started.attempt.query
	q.starts++
	l.executed++
	if w.config.Service.Classes[q.class].Kind == KindOnce && q.starts > 1 {
		w.violate(ViolationOnce, "query %d ran %d times", q.index, q.starts)
	}
}

// checkEnd checks what only shows at the end of a run.
func (w *world) checkEnd() {
	for _, q := range w.queries {
		switch {
		case q.lost:
		case !q.finished:
			if q.node != nil {
				w.violate(ViolationFinish, "query %d was never finished", q.index)
			}
		case q.finish.Outcome == dispatch.OutcomeNotRun && q.starts > 0:
			w.violate(ViolationNotRun, "query %d was called not run (%s) and ran %d times", q.index, q.finish.Reason, q.starts)
		}
	}
}
