package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/decide/retryafter"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/lease"
	"github.com/micaplank/micaplank/internal/settings"
)

// announcementView reports which incarnations of leaves are announced now. It is implemented by
// view.
type announcementView interface {
	findAnnounced(incarnations []string) map[string]bool
}

// quarantineDriver keeps requests that crash leaves away from them, by what all nodes have observed
// together. Package quarantine has the rules. It implements forward.Quarantine and is safe for
// concurrent use.
type quarantineDriver struct {
	store     Quarantine
	announced announcementView
	clock     clock.Clock
	logger    *slog.Logger
	enabled   bool
	// minCrashes is the number of leaves that must crash under a request before it is suspected.
	minCrashes int
	lease      *lease.Shared
	metrics    *quarantineMetrics
	// wake signals the writer that there are changes to write.
	wake chan struct{}
	// storeUnavailable is set while the store does not answer.
	storeUnavailable atomic.Bool

	mutex sync.Mutex
	table *quarantine.Table
	// changed is closed and replaced at each change of the table.
	changed    chan struct{}
	recent     *quarantine.RecentAnswers
	background quarantine.BackgroundRate
}

var _ forward.Quarantine = (*quarantineDriver)(nil)

// newQuarantineDriver returns the driver of the named node. It admits every request if there is no
// store, or if the settings set no number of crashes.
func newQuarantineDriver(name string, configured settings.Forward, store Quarantine, announced announcementView, clock clock.Clock, logger *slog.Logger, registerer prometheus.Registerer) *quarantineDriver {
	config := quarantine.DefaultConfig(name + "/" + ulid.Make().String())
	config.MinCrashes = configured.QuarantineAfter
	config.HeartbeatInterval = configured.LeafHeartbeat.Duration()
	return &quarantineDriver{
		store:      store,
		announced:  announced,
		clock:      clock,
		logger:     logger,
		enabled:    config.MinCrashes > 0 && store != nil,
		minCrashes: config.MinCrashes,
		lease:      lease.NewShared(store, quarantine.RecordTTL, clock.Now),
		metrics:    newQuarantineMetrics(registerer),
		wake:       make(chan struct{}, 1),
		table:      quarantine.NewTable(config),
		changed:    make(chan struct{}),
		recent:     quarantine.NewRecentAnswers(),
	}
}

// Admit implements forward.Quarantine.
func (q *quarantineDriver) Admit(ctx context.Context, content quarantine.Content) forward.Admission {
	if !q.enabled {
		return forward.Admission{}
	}
	for range quarantine.MaxTrialWrites {
		decision := q.awaitDecision(ctx, content)
		switch decision.Verdict {
		case quarantine.Run:
			return forward.Admission{}
		case quarantine.Refuse:
			return q.refuse(decision)
		}
		err := q.beginTrial(ctx, decision.Change)
		if err == nil {
			return forward.Admission{Verdict: quarantine.Trial}
		}
		if !errors.Is(err, ErrConflict) {
			break
		}
	}
	return q.refuse(quarantine.Decision{RetryAfter: retryafter.StoreReadDelay})
}

// awaitDecision decides on a request once no trial of it is running, or after the decision's retry
// delay. Without the wait, the client would spend a retry on an answer that is known a moment
// later.
func (q *quarantineDriver) awaitDecision(ctx context.Context, content quarantine.Content) quarantine.Decision {
	decision, changed := q.admit(content)
	if !decision.TrialRunning {
		return decision
	}
	timer := time.NewTimer(decision.RetryAfter)
	defer timer.Stop()
	for decision.TrialRunning {
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

// admit returns the current decision on a request, and a channel that is closed at the next change
// of the table.
func (q *quarantineDriver) admit(content quarantine.Content) (quarantine.Decision, <-chan struct{}) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.table.Admit(q.clock.Now(), content), q.changed
}

func (q *quarantineDriver) refuse(decision quarantine.Decision) forward.Admission {
	refusal := forward.Admission{Verdict: quarantine.Refuse, Reason: forward.ReasonTrial, RetryAfter: decision.RetryAfter}
	if decision.Held {
		refusal.Reason = forward.ReasonQuarantined
	}
	q.metrics.refused.WithLabelValues(string(refusal.Reason)).Inc()
	return refusal
}

// beginTrial writes the start of a trial to the store, unless trials are not written in the present
// state of the store.
func (q *quarantineDriver) beginTrial(ctx context.Context, change quarantine.Change) error {
	if !quarantine.MustWriteTrial(q.storeUnavailable.Load()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, quarantine.TrialWriteTimeout)
	defer cancel()
	return q.write(ctx, change, func() { q.table.CancelTrial(change.Content) })
}

// notifyTableChange wakes the goroutines that wait for a change of the table, and updates the
// gauges. The caller holds the mutex.
func (q *quarantineDriver) notifyTableChange() {
	close(q.changed)
	q.changed = make(chan struct{})
	known, held := q.table.Len()
	q.metrics.known.Set(float64(known))
	q.metrics.held.Set(float64(held))
}
