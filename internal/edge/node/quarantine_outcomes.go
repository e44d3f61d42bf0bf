package node

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/scatter"
)

// Finished implements forward.Quarantine.
func (q *quarantineDriver) Finished(content quarantine.Content, execution forward.Execution) {
	if !q.enabled {
		return
	}
	attempts, trial := execution.Attempts, execution.Trial
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Now()
	crashes, answered := q.recordAttempts(now, content, execution)
	changed := false
	switch {
	case answered:
		q.recent.Add(now, content)
		changed = q.table.Answered(content)
	case trial:
		q.recordFailedTrial(now, content, crashes, attempts)
		changed = true
	case len(crashes) > 0 && !q.recent.Has(now, content):
		changed = q.suspect(now, content, execution.Route, crashes)
	}
	if trial {
		q.metrics.trials.WithLabelValues(trialResult(crashes, answered)).Inc()
	}
	if changed {
		q.notifyTableChange()
		q.wakeWriter()
	}
}

// Losing takes in a request that runs and has lost one more leaf. Once enough have
// crashed under it, and none has answered, it is suspected at once: a node that waited for
// the end of the run, which is that of its slowest shard, ran it as a whole for the next
// callers meanwhile. The rest of the leaves comes with Finished.
func (q *quarantineDriver) LeafLost(running scatter.Unfinished[*forward.Request]) {
	if !q.enabled || !q.reachedMinCrashes(running.Attempts) {
		return
	}
	content := running.Payload.Content()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Now()
	if q.recent.Has(now, content) {
		return
	}
	var crashes []quarantine.Crash
	for index := range running.Attempts {
		if attempt := &running.Attempts[index]; attempt.Closed {
			sent := running.Began + attempt.At
			if crash, crashed := q.table.Lost(attempt.BootID, sent, sent+attempt.Took); crashed {
				crashes = append(crashes, quarantine.NewCrash(crash, running.RequestID))
			}
		}
	}
	if len(crashes) > 0 && q.suspect(now, content, running.Payload.Route, crashes) {
		q.notifyTableChange()
		q.wakeWriter()
	}
}

// enough reports whether just as many attempts were lost as have a request suspected, and
// none was answered.
func (q *quarantineDriver) reachedMinCrashes(attempts []scatter.AttemptTrace) bool {
	lost := 0
	for index := range attempts {
		switch attempt := &attempts[index]; {
		case attempt.End == scatter.EndAnswered, attempt.End == scatter.EndFailed:
			return false
		case attempt.Closed:
			lost++
		}
	}
	return lost == q.minCrashes
}

// learn takes in the attempts of a request, for the leaves and for the background. It
// returns the leaves that crashed under it, and whether a leaf answered it, if only with a
// failure of its own. The caller holds the mutex.
func (q *quarantineDriver) recordAttempts(now time.Duration, content quarantine.Content, execution forward.Execution) (crashes []quarantine.Crash, answered bool) {
	_, suspected := q.table.Of(content)
	for index := range execution.Attempts {
		attempt := &execution.Attempts[index]
		sent := execution.Began + attempt.At
		switch {
		case attempt.End == scatter.EndAnswered, attempt.End == scatter.EndFailed:
			answered = true
			q.table.LeafAnswered(attempt.BootID, sent)
			q.background.Add(now, content, suspected, attempt.Shard, false)
		case attempt.Closed:
			crash, crashed := q.table.Lost(attempt.BootID, sent, sent+attempt.Took)
			if !crashed {
				q.metrics.voidLosses.Inc()
				continue
			}
			crashes = append(crashes, quarantine.NewCrash(crash, execution.RequestID))
			q.background.Add(now, content, suspected, attempt.Shard, true)
		}
	}
	return crashes, answered
}

// reached reports whether a leaf may have begun to run one of some attempts.
func anyMayHaveRun(attempts []scatter.AttemptTrace) bool {
	return slices.ContainsFunc(attempts, func(attempt scatter.AttemptTrace) bool {
		return attempt.End != scatter.EndUnsent && attempt.End != scatter.EndRefused
	})
}

// trialUnanswered records a trial that brought no answer. The caller holds the mutex.
func (q *quarantineDriver) recordFailedTrial(now time.Duration, content quarantine.Content, crashes []quarantine.Crash, attempts []scatter.AttemptTrace) {
	switch {
	case !anyMayHaveRun(attempts):
		q.table.Withdraw(content)
		return
	case len(crashes) == 0:
		q.table.TrialInconclusive(now, content)
		return
	}
	chance := q.background.Chance(now, content, attempts[0].Shard)
	held := q.table.TrialCrashed(now, content, crashes, chance)
	known, _ := q.table.Of(content)
	event.Log(q.logger, event.RequestTried{
		Content: content, Route: known.Route, Leaf: crashes[0].Leaf, Trials: known.Trials, Chance: roundToHundredths(chance), Odds: roundToHundredths(known.Odds),
	})
	if held {
		q.logHeld(content, known)
	}
}

// suspect records that leaves crashed under a request that has no answer. The caller
// holds the mutex.
func (q *quarantineDriver) suspect(now time.Duration, content quarantine.Content, route string, crashes []quarantine.Crash) bool {
	added := q.table.Suspect(now, content, route, crashes)
	if added {
		event.Log(q.logger, event.RequestSuspected{Content: content, Route: route, Leaves: crashedLeaves(crashes)})
	}
	q.metrics.countReport(added)
	return added
}

func crashedLeaves(crashes []quarantine.Crash) []string {
	leaves := make([]string, 0, len(crashes))
	for _, crash := range crashes {
		leaves = append(leaves, crash.Leaf)
	}
	return leaves
}

func (q *quarantineDriver) logHeld(content quarantine.Content, known quarantine.Known) {
	event.Log(q.logger, event.RequestHeld{
		Content: content, Route: known.Route, Leaves: crashedLeaves(known.Crashes), Trials: known.Trials, Odds: roundToHundredths(known.Odds), Revision: known.Revision,
	})
}
