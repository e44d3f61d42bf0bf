package node

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Ended implements forward.Quarantine.
func (q *quarantineGate) Finished(content quarantine.Content, tried forward.Execution) {
	if !q.enabled {
		return
	}
	attempts, trial := tried.Attempts, tried.Trial
	ended, answered := endsOf(tried)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Now()
	q.countBackground(now, content, attempts)
	write := false
	switch {
	case answered:
		q.recent.Add(now, content)
		write = q.table.Answered(content)
	case trial:
		q.trialEnded(now, content, ended, attempts)
		write = true
	case len(ended) > 0 && !q.recent.Has(now, content):
		write = q.suspect(now, content, tried.Route, ended)
	}
	if trial {
		q.metrics.trials.WithLabelValues(trialResult(ended, answered)).Inc()
	}
	if write {
		q.tableChanged()
		q.wakeWriter()
	}
}

// endsOf returns the leaves that ended under some attempts, and whether a leaf
// answered one, if only with a failure of its own.
func endsOf(tried forward.Execution) (ended []quarantine.Crash, answered bool) {
	for index := range tried.Attempts {
		switch one := &tried.Attempts[index]; {
		case one.End == scatter.EndAnswered, one.End == scatter.EndFailed:
			answered = true
		case one.Closed:
			ended = append(ended, quarantine.NewCrash(one.BootID, tried.RequestID))
		}
	}
	return ended, answered
}

// reached reports whether a leaf may have begun to run one of some attempts.
func reached(attempts []scatter.AttemptTrace) bool {
	return slices.ContainsFunc(attempts, func(one scatter.AttemptTrace) bool {
		return one.End != scatter.EndUnsent && one.End != scatter.EndRefused
	})
}

// countBackground adds the attempts of a request to the background. The caller holds the mutex.
func (q *quarantineGate) countBackground(now time.Duration, content quarantine.Content, attempts []scatter.AttemptTrace) {
	_, suspected := q.table.Of(content)
	for index := range attempts {
		one := &attempts[index]
		answered := one.End == scatter.EndAnswered || one.End == scatter.EndFailed
		if answered || one.Closed {
			q.background.Add(now, content, suspected, one.Shard, one.Closed)
		}
	}
}

// trialEnded records a trial that brought no answer. The caller holds the mutex.
func (q *quarantineGate) trialEnded(now time.Duration, content quarantine.Content, ended []quarantine.Crash, attempts []scatter.AttemptTrace) {
	switch {
	case !reached(attempts):
		q.table.Withdraw(content)
		return
	case len(ended) == 0:
		q.table.TrialInconclusive(now, content)
		return
	}
	chance := q.background.Chance(now, content, attempts[0].Shard)
	held := q.table.TrialCrashed(now, content, ended, chance)
	known, _ := q.table.Of(content)
	event.Log(q.logger, event.RequestTried{
		Content: content, Route: known.Route, Leaf: ended[0].Leaf, Trials: known.Trials, Chance: rounded(chance), Odds: rounded(known.Odds),
	})
	if held {
		q.logHeld(content, known)
	}
}

// suspect records that leaves ended under a request that has no answer. The caller
// holds the mutex.
func (q *quarantineGate) suspect(now time.Duration, content quarantine.Content, route string, ended []quarantine.Crash) bool {
	kept := q.table.Suspect(now, content, route, ended)
	if kept {
		event.Log(q.logger, event.RequestSuspected{Content: content, Route: route, Leaves: leavesOf(ended)})
	}
	q.metrics.reported(kept)
	return kept
}

func leavesOf(ended []quarantine.Crash) []string {
	leaves := make([]string, 0, len(ended))
	for _, one := range ended {
		leaves = append(leaves, one.Leaf)
	}
	return leaves
}

func (q *quarantineGate) logHeld(content quarantine.Content, known quarantine.Known) {
	event.Log(q.logger, event.RequestHeld{
		Content: content, Route: known.Route, Leaves: leavesOf(known.Crashes), Trials: known.Trials, Odds: rounded(known.Odds), Revision: known.Revision,
	})
}
