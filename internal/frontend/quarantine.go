package frontend

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/forward"
	"github.com/micaplank/micaplank/internal/lease"
	"github.com/micaplank/micaplank/internal/scatter"
)

const (
	// quarantineTTL is how long a record stays in the store at most, and half of it
	// the least: the time for which a request is held.
	quarantineTTL = 10 * time.Minute
	// trialWriteTimeout bounds the write before a trial, for which the client waits.
	// It is fifty times what the store takes as a rule, 4 ms and the way there.
	trialWriteTimeout = 250 * time.Millisecond
	// trialTries is how often a trial is begun anew that another write came before:
	// nodes that saw the same leaves end report at the same moment.
	trialTries = 3
)

// quarantined is what a node does about requests under which leaves end. It
// implements forward.Gate and is safe for concurrent use.
type quarantined struct {
	*Frontend
	enabled bool
	lease   *lease.Shared
	counts  *quarantineMetrics
	// wake tells the writer that there is something to write.
	wake chan struct{}
	// away is set while the store does not answer.
	away atomic.Bool

	guard sync.Mutex
	table *quarantine.Table
	// changed is closed with each change of the table.
	changed    chan struct{}
	recent     *quarantine.Recent
	background quarantine.Background
}

var _ forward.Gate = (*quarantined)(nil)

func newQuarantined(f *Frontend, registerer prometheus.Registerer) *quarantined {
	config := quarantine.DefaultConfig(f.member.Name + "/" + ulid.Make().String())
	config.MinEnded = f.settings.Forward.QuarantineAfter
	config.HoldTime = quarantineTTL / 2
	return &quarantined{
		Frontend: f,
		enabled:  config.MinEnded > 0 && f.ports.Quarantine != nil,
		lease:    lease.NewShared(f.ports.Quarantine, quarantineTTL, f.clock.Now),
		counts:   newQuarantineMetrics(registerer),
		wake:     make(chan struct{}, 1),
		table:    quarantine.NewTable(config),
		changed:  make(chan struct{}),
		recent:   quarantine.NewRecent(),
	}
}

// Enter implements forward.Gate. A trial is written first, so that no two nodes try
// a request at the same time.
func (q *quarantined) Enter(ctx context.Context, content quarantine.Content) forward.Pass {
	if !q.enabled {
		return forward.Pass{}
	}
	for range trialTries {
		decision := q.await(ctx, content)
		switch decision.Verdict {
		case quarantine.Pass:
			return forward.Pass{}
		case quarantine.Refuse:
			return q.refuse(decision)
		}
		err := q.begin(ctx, decision.Change)
		if err == nil {
			return forward.Pass{Verdict: quarantine.Trial}
		}
		if !errors.Is(err, ErrOvertaken) {
			break
		}
	}
	return q.refuse(quarantine.Decision{RetryAfter: unknownRetryAfter})
}

// await decides on a request once no trial of it is under way, or after a while: its
// client would else spend a try of its own on what is known in a moment.
func (q *quarantined) await(ctx context.Context, content quarantine.Content) quarantine.Decision {
	decision, changed := q.admit(content)
	if !decision.UnderWay {
		return decision
	}
	timer := time.NewTimer(decision.RetryAfter)
	defer timer.Stop()
	for decision.UnderWay {
		select {
		case <-changed:
			decision, changed = q.admit(content)
		case <-timer.C:
			return decision
		case <-ctx.Done():
			return decision
		}
	}
	return decision
}

// admit decides on a request as things are, and returns what is closed with the next
// change.
func (q *quarantined) admit(content quarantine.Content) (quarantine.Decision, <-chan struct{}) {
	q.guard.Lock()
	defer q.guard.Unlock()
	return q.table.Admit(q.clock.Now(), content), q.changed
}

func (q *quarantined) refuse(decision quarantine.Decision) forward.Pass {
	pass := forward.Pass{Verdict: quarantine.Refuse, Reason: forward.ReasonTrial, RetryAfter: decision.RetryAfter}
	if decision.Held {
		pass.Reason = forward.ReasonQuarantined
	}
	q.counts.refused.WithLabelValues(string(pass.Reason)).Inc()
	return pass
}

// begin writes that a trial begins. While the store is away a node tries on its own
// account: it refuses what ends a leaf as often as all of them would.
func (q *quarantined) begin(ctx context.Context, change quarantine.Change) error {
	if q.away.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, trialWriteTimeout)
	defer cancel()
	return q.write(ctx, change, func() { q.table.Withdraw(change.Content) })
}

// write makes one change, and takes in what the store has then. If it was not done,
// withdraw is called first, under the guard; nil for nothing.
func (q *quarantined) write(ctx context.Context, change quarantine.Change, withdraw func()) error {
	current, err := q.change(ctx, change)
	q.guard.Lock()
	defer q.guard.Unlock()
	now := q.clock.Now()
	if err != nil && withdraw != nil {
		withdraw()
	}
	switch {
	case err == nil:
		q.table.Written(now, change, current.Revision)
	case errors.Is(err, ErrOvertaken) && current.Revision == 0:
		q.table.Remove(now, change.Content)
	case errors.Is(err, ErrOvertaken):
		q.table.Set(now, change.Content, current)
	}
	q.counts.writes.WithLabelValues(resultOf(err)).Inc()
	q.show()
	return err
}

func resultOf(err error) string {
	switch {
	case err == nil:
		return resultWritten
	case errors.Is(err, ErrOvertaken):
		return resultOvertaken
	default:
		return resultFailed
	}
}

// change makes one change. A call without an answer may have been done: another one
// tells, and then it counts as done.
func (q *quarantined) change(ctx context.Context, change quarantine.Change) (quarantine.Known, error) {
	current, err := q.ask(ctx, change)
	if err != nil && !errors.Is(err, ErrOvertaken) && ctx.Err() == nil {
		current, err = q.ask(ctx, change)
	}
	if errors.Is(err, ErrOvertaken) && change.Done(current) {
		return current, nil
	}
	return current, err
}

// ask asks the store for one change, under a new lease if the last one is over.
func (q *quarantined) ask(ctx context.Context, change quarantine.Change) (quarantine.Known, error) {
	if change.Remove {
		return q.ports.Quarantine.WriteQuarantine(ctx, change, 0)
	}
	under, err := q.lease.ID(ctx)
	if err != nil {
		return quarantine.Known{}, err
	}
	current, err := q.ports.Quarantine.WriteQuarantine(ctx, change, under)
	if !errors.Is(err, lease.ErrLapsed) {
		return current, err
	}
	q.lease.Lapsed(under)
	if under, err = q.lease.ID(ctx); err != nil {
		return quarantine.Known{}, err
	}
	return q.ports.Quarantine.WriteQuarantine(ctx, change, under)
}

// Ended implements forward.Gate.
func (q *quarantined) Ended(content quarantine.Content, tried forward.Tried) {
	if !q.enabled {
		return
	}
	attempts, trial := tried.Attempts, tried.Trial
	ended, answered := endsOf(tried)
	q.guard.Lock()
	defer q.guard.Unlock()
	now := q.clock.Now()
	if _, suspected := q.table.Of(content); !suspected {
		q.count(now, attempts)
	}
	write := false
	switch {
	case answered:
		q.recent.Add(now, content)
		write = q.table.Answered(content)
	case trial:
		q.tried(now, content, ended, attempts)
		write = true
	case len(ended) > 0 && !q.recent.Has(now, content):
		write = q.suspect(now, content, tried.Route, ended)
	}
	if trial {
		q.counts.trials.WithLabelValues(trialResult(ended, answered)).Inc()
	}
	if write {
		q.show()
		q.wakeWriter()
	}
}

// endsOf returns the leaves that ended under some attempts, and whether a leaf
// answered one, if only with a failure of its own.
func endsOf(tried forward.Tried) (ended []quarantine.End, answered bool) {
	for index := range tried.Attempts {
		switch one := &tried.Attempts[index]; {
		case one.End == scatter.EndAnswered, one.End == scatter.EndFailed:
			answered = true
		case one.Closed:
			ended = append(ended, quarantine.NewEnd(one.BootID, tried.RequestID))
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

// count adds attempts to what is usual. The caller holds the guard.
func (q *quarantined) count(now time.Duration, attempts []scatter.AttemptTrace) {
	for index := range attempts {
		switch one := &attempts[index]; {
		case one.End == scatter.EndAnswered, one.End == scatter.EndFailed:
			q.background.Answered(now, one.Shard)
		case one.Closed:
			q.background.Ended(now, one.Shard)
		}
	}
}

// tried takes in a trial that brought no answer. The caller holds the guard.
func (q *quarantined) tried(now time.Duration, content quarantine.Content, ended []quarantine.End, attempts []scatter.AttemptTrace) {
	switch {
	case !reached(attempts):
		q.table.Withdraw(content)
		return
	case len(ended) == 0:
		q.table.TrialOpen(now, content)
		return
	}
	chance := q.background.Chance(now, attempts[0].Shard)
	held := q.table.Tried(now, content, ended, chance)
	known, _ := q.table.Of(content)
	event.Log(q.logger, event.RequestTried{
		Content: content, Route: known.Route, Leaf: ended[0].Leaf, Trials: known.Trials, Chance: rounded(chance), Odds: rounded(known.Odds),
	})
	if held {
		q.logHeld(content, known)
	}
}

// suspect takes in that leaves ended under a request that has no answer. The caller
// holds the guard.
func (q *quarantined) suspect(now time.Duration, content quarantine.Content, route string, ended []quarantine.End) bool {
	news := q.table.Suspect(now, content, route, ended)
	if news {
		event.Log(q.logger, event.RequestSuspected{Content: content, Route: route, Leaves: leavesOf(ended)})
	}
	q.counts.reported(news)
	return news
}

func leavesOf(ended []quarantine.End) []string {
	leaves := make([]string, 0, len(ended))
	for _, one := range ended {
		leaves = append(leaves, one.Leaf)
	}
	return leaves
}

func (q *quarantined) logHeld(content quarantine.Content, known quarantine.Known) {
	event.Log(q.logger, event.RequestHeld{
		Content: content, Route: known.Route, Leaves: leavesOf(known.Ended), Trials: known.Trials, Odds: rounded(known.Odds), Revision: known.Revision,
	})
}

// show follows a change of the table. The caller holds the guard.
func (q *quarantined) show() {
	close(q.changed)
	q.changed = make(chan struct{})
	known, held := q.table.Len()
	q.counts.known.Set(float64(known))
	q.counts.held.Set(float64(held))
}

func (q *quarantined) wakeWriter() {
	select {
	case q.wake <- struct{}{}:
	default: // it is awake
	}
}

// run writes what this node learns, until ctx ends.
func (q *quarantined) run(ctx context.Context) {
	failures := 0
	for {
		select {
		case <-q.wake:
		case <-ctx.Done():
			return
		}
		if q.flush(ctx) {
			failures = 0
			continue
		}
		failures++
		if !clock.Sleep(ctx, min(minBackoff<<min(failures-1, 10), leaseBackoff)) {
			return
		}
		q.wakeWriter()
	}
}

// flush writes what is unwritten. It reports whether nothing is left.
func (q *quarantined) flush(ctx context.Context) bool {
	q.guard.Lock()
	pending := q.table.Unwritten()
	q.guard.Unlock()
	for _, content := range pending {
		q.guard.Lock()
		change, wanted := q.table.Change(content)
		q.guard.Unlock()
		if !wanted {
			continue
		}
		if err := q.write(ctx, change, nil); err != nil && !errors.Is(err, ErrOvertaken) && ctx.Err() == nil {
			event.Log(q.logger, event.QuarantineNotWritten{Content: content, Error: err})
			return false
		}
	}
	q.guard.Lock()
	defer q.guard.Unlock()
	return len(q.table.Unwritten()) == 0
}

// replace takes in all records of a reading, or some if it is stale.
func (q *quarantined) replace(items map[quarantine.Content]quarantine.Known, stale bool) {
	q.guard.Lock()
	defer q.guard.Unlock()
	if stale {
		q.table.Merge(q.clock.Now(), items)
	} else {
		q.table.Replace(q.clock.Now(), items)
	}
	q.show()
}

// set takes in one record of the store.
func (q *quarantined) set(content quarantine.Content, stored quarantine.Known) {
	q.guard.Lock()
	defer q.guard.Unlock()
	if q.table.Set(q.clock.Now(), content, stored) {
		known, _ := q.table.Of(content)
		q.logHeld(content, known)
	}
	q.show()
	q.wakeWriter()
}

// remove takes in that a record is gone from the store.
func (q *quarantined) remove(content quarantine.Content) {
	q.guard.Lock()
	defer q.guard.Unlock()
	if q.table.Remove(q.clock.Now(), content) {
		event.Log(q.logger, event.RequestReleased{Content: content})
	}
	q.show()
}

// setNodes says how many nodes there are.
func (q *quarantined) setNodes(nodes int) {
	q.guard.Lock()
	defer q.guard.Unlock()
	q.table.SetNodes(nodes)
}
