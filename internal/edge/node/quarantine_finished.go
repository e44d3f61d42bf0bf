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
func (q *quarantineDriver) Finished(content quarantine.Content, ended forward.Execution) {
	if !q.enabled {
		return
	}
	attempts, trial := ended.Attempts, ended.Trial
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Now()
	crashes, answered := q.learn(now, content, ended)
	write := false
	switch {
	case answered:
		q.recent.Add(now, content)
		write = q.table.Answered(content)
	case trial:
		q.trialUnanswered(now, content, crashes, attempts)
		write = true
	case len(crashes) > 0 && !q.recent.Has(now, content):
		write = q.suspect(now, content, ended.Route, crashes)
	}
	if trial {
		q.metrics.trials.WithLabelValues(trialResult(crashes, answered)).Inc()
	}
	if write {
		q.tableChanged()
		q.wakeWriter()
	}
}

// Losing takes in a request that runs and has lost one more leaf. Once enough have
// crashed under it, and none has answered, it is suspected at once: a node that waited for
// the end of the run, which is that of its slowest shard, ran it as a whole for the next
// callers meanwhile. The rest of the leaves comes with Finished.
func (q *quarantineDriver) Losing(ended scatter.Unfinished[*forward.Request]) {
	if !q.enabled || !q.enough(ended.Attempts) {
		return
	}
	content := ended.Payload.Content()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Now()
	if q.recent.Has(now, content) {
		return
	}
	var crashes []quarantine.Crash
	for index := range ended.Attempts {
		if one := &ended.Attempts[index]; one.Closed {
			sent := ended.Began + one.At
			if crash, crashed := q.table.Lost(one.BootID, sent, sent+one.Took); crashed {
				crashes = append(crashes, quarantine.NewCrash(crash, ended.RequestID))
			}
		}
	}
	if len(crashes) > 0 && q.suspect(now, content, ended.Payload.Route, crashes) {
		q.tableChanged()
		q.wakeWriter()
	}
}

// enough reports whether just as many attempts were lost as have a request suspected, and
// none was answered.
func (q *quarantineDriver) enough(attempts []scatter.AttemptTrace) bool {
	lost := 0
	for index := range attempts {
		switch one := &attempts[index]; {
		case one.End == scatter.EndAnswered, one.End == scatter.EndFailed:
			return false
		case one.Closed:
			lost++
		}
	}
	return lost == q.minCrashes
}

// learn takes in the attempts of a request, for the leaves and for the background. It
// returns the leaves that crashed under it, and whether a leaf answered it, if only with a
// failure of its own. The caller holds the mutex.
func (q *quarantineDriver) learn(now time.Duration, content quarantine.Content, ended forward.Execution) (crashes []quarantine.Crash, answered bool) {
	_, suspected := q.table.Of(content)
	for index := range ended.Attempts {
		one := &ended.Attempts[index]
		sent := ended.Began + one.At
		switch {
		case one.End == scatter.EndAnswered, one.End == scatter.EndFailed:
			answered = true
			q.table.LeafAnswered(one.BootID, sent)
			q.background.Add(now, content, suspected, one.Shard, false)
		case one.Closed:
			crash, crashed := q.table.Lost(one.BootID, sent, sent+one.Took)
			if !crashed {
				q.metrics.void.Inc()
				continue
			}
			crashes = append(crashes, quarantine.NewCrash(crash, ended.RequestID))
			q.background.Add(now, content, suspected, one.Shard, true)
		}
	}
	return crashes, answered
}

// reached reports whether a leaf may have begun to run one of some attempts.
func reached(attempts []scatter.AttemptTrace) bool {
	return slices.ContainsFunc(attempts, func(one scatter.AttemptTrace) bool {
		return one.End != scatter.EndUnsent && one.End != scatter.EndRefused
	})
}

// trialUnanswered records a trial that brought no answer. The caller holds the mutex.
func (q *quarantineDriver) trialUnanswered(now time.Duration, content quarantine.Content, crashes []quarantine.Crash, attempts []scatter.AttemptTrace) {
	switch {
	case !reached(attempts):
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
		Content: content, Route: known.Route, Leaf: crashes[0].Leaf, Trials: known.Trials, Chance: rounded(chance), Odds: rounded(known.Odds),
	})
	if held {
		q.logHeld(content, known)
	}
}

// suspect records that leaves crashed under a request that has no answer. The caller
// holds the mutex.
func (q *quarantineDriver) suspect(now time.Duration, content quarantine.Content, route string, crashes []quarantine.Crash) bool {
	news := q.table.Suspect(now, content, route, crashes)
	if news {
		event.Log(q.logger, event.RequestSuspected{Content: content, Route: route, Leaves: leavesOf(crashes)})
	}
	q.metrics.reported(news)
	return news
}

func leavesOf(crashes []quarantine.Crash) []string {
	leaves := make([]string, 0, len(crashes))
	for _, one := range crashes {
		leaves = append(leaves, one.Leaf)
	}
	return leaves
}

func (q *quarantineDriver) logHeld(content quarantine.Content, known quarantine.Known) {
	event.Log(q.logger, event.RequestHeld{
		Content: content, Route: known.Route, Leaves: leavesOf(known.Crashes), Trials: known.Trials, Odds: rounded(known.Odds), Revision: known.Revision,
	})
}
