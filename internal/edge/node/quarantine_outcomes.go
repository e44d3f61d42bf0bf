package node

import (
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/scatter"
)

// RecordExecution implements forward.Quarantine.
func (q *quarantineDriver) RecordExecution(content quarantine.Content, execution forward.Execution) {
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
		changed = q.table.RecordAnswer(content)
	case trial:
		q.recordFailedTrial(now, content, crashes, attempts)
		changed = true
	case len(crashes) > 0 && !q.recent.Contains(now, content):
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

// LeafLost is called when a running request has lost another leaf. As soon as enough leaves have
// crashed under it and none has answered, the request is suspected. Waiting for its end, which
// depends on its slowest shard, would let the node run the same request in full for other clients
// in the meantime. RecordExecution records the leaves that crash later.
func (q *quarantineDriver) LeafLost(running scatter.QueryProgress[*forward.Request]) {
	if !q.enabled || !q.reachedMinCrashes(running.Attempts) {
		return
	}
	content := running.Payload.Content()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Now()
	if q.recent.Contains(now, content) {
		return
	}
	var crashes []quarantine.Crash
	for index := range running.Attempts {
		if attempt := &running.Attempts[index]; attempt.Closed {
			sent := running.SubmittedAt + attempt.SentAfter
			if crash, crashed := q.table.RecordLoss(attempt.BootID, sent, sent+attempt.Duration); crashed {
				crashes = append(crashes, quarantine.NewCrash(crash, running.RequestID))
			}
		}
	}
	if len(crashes) > 0 && q.suspect(now, content, running.Payload.Route, crashes) {
		q.notifyTableChange()
		q.wakeWriter()
	}
}

// reachedMinCrashes reports whether the number of lost attempts has just reached the number that
// makes a request suspected, while no attempt was answered.
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

// recordAttempts records the attempts of a request, per leaf and in the background crash rate. It
// returns the leaves that crashed under the request, and whether a leaf answered, possibly with an
// error response. The caller holds the mutex.
func (q *quarantineDriver) recordAttempts(now time.Duration, content quarantine.Content, execution forward.Execution) (crashes []quarantine.Crash, answered bool) {
	_, suspected := q.table.Lookup(content)
	for index := range execution.Attempts {
		attempt := &execution.Attempts[index]
		sent := execution.StartedAt + attempt.SentAfter
		switch {
		case attempt.End == scatter.EndAnswered, attempt.End == scatter.EndFailed:
			answered = true
			q.table.RecordLeafAnswer(attempt.BootID, sent)
			q.background.Add(now, content, suspected, attempt.Shard, false)
		case attempt.Closed:
			crash, crashed := q.table.RecordLoss(attempt.BootID, sent, sent+attempt.Duration)
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

// anyMayHaveRun reports whether a leaf may have started to run one of the attempts.
func anyMayHaveRun(attempts []scatter.AttemptTrace) bool {
	return slices.ContainsFunc(attempts, func(attempt scatter.AttemptTrace) bool {
		return attempt.End != scatter.EndUnsent && attempt.End != scatter.EndRefused
	})
}

// recordFailedTrial records a trial that was not answered. The caller holds the mutex.
func (q *quarantineDriver) recordFailedTrial(now time.Duration, content quarantine.Content, crashes []quarantine.Crash, attempts []scatter.AttemptTrace) {
	switch {
	case !anyMayHaveRun(attempts):
		q.table.CancelTrial(content)
		return
	case len(crashes) == 0:
		q.table.RecordInconclusiveTrial(now, content)
		return
	}
	chance := q.background.CrashChance(now, content, attempts[0].Shard)
	held := q.table.RecordTrialCrash(now, content, crashes, chance)
	record, _ := q.table.Lookup(content)
	event.Log(q.logger, event.TrialFailed{
		Content: content, Route: record.Route, Leaf: crashes[0].Leaf, Trials: record.Trials, Chance: roundToHundredths(chance), Odds: roundToHundredths(record.Odds),
	})
	if held {
		q.logHeld(content, record)
	}
}

// suspect records that leaves crashed under a request that was not answered. It reports whether
// this added anything to the table. The caller holds the mutex.
func (q *quarantineDriver) suspect(now time.Duration, content quarantine.Content, route string, crashes []quarantine.Crash) bool {
	added := q.table.RecordCrashes(now, content, route, crashes)
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

func (q *quarantineDriver) logHeld(content quarantine.Content, record quarantine.StoredRecord) {
	event.Log(q.logger, event.RequestHeld{
		Content: content, Route: record.Route, Leaves: crashedLeaves(record.Crashes), Trials: record.Trials, Odds: roundToHundredths(record.Odds), Revision: record.Written.Revision,
	})
}
