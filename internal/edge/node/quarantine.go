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

const (
	// quarantineTTL is how long a record stays in the store at most, and half of it
	// the least: the time for which a request is held. Not measured: chosen as some
	// minutes.
	quarantineTTL = 10 * time.Minute
	// trialWriteTimeout bounds the write before a trial, for which the client waits.
	// It is fifty times what the store takes as a rule, 4 ms and the way there.
	trialWriteTimeout = 250 * time.Millisecond
	// maxTrialWrites is how often the write of a trial is tried while others come before
	// it: nodes that saw the same leaves end report at the same moment. Not measured.
	maxTrialWrites = 3
)

// quarantineGate keeps requests under which leaves end from the leaves, by what all
// nodes know of them together: what that is decides package quarantine. It implements
// forward.Quarantine and is safe for concurrent use.
type quarantineGate struct {
	store   Quarantine
	clock   clock.Clock
	logger  *slog.Logger
	enabled bool
	lease   *lease.Shared
	metrics *quarantineMetrics
	// wake tells the writer that there is something to write.
	wake chan struct{}
	// storeAway is set while the store does not answer.
	storeAway atomic.Bool

	mutex sync.Mutex
	table *quarantine.Table
	// changed is closed with each change of the table.
	changed    chan struct{}
	recent     *quarantine.Recent
	background quarantine.Background
}

var _ forward.Quarantine = (*quarantineGate)(nil)

// newQuarantineGate returns the gate of a node by name. It lets everything pass if it has
// no store, or if the settings name no number of leaves.
func newQuarantineGate(name string, from settings.Forward, store Quarantine, clock clock.Clock, logger *slog.Logger, registerer prometheus.Registerer) *quarantineGate {
	config := quarantine.DefaultConfig(name + "/" + ulid.Make().String())
	config.MinCrashes = from.QuarantineAfter
	config.HoldTime = quarantineTTL / 2
	return &quarantineGate{
		store:   store,
		clock:   clock,
		logger:  logger,
		enabled: config.MinCrashes > 0 && store != nil,
		lease:   lease.NewShared(store, quarantineTTL, clock.Now),
		metrics: newQuarantineMetrics(registerer),
		wake:    make(chan struct{}, 1),
		table:   quarantine.NewTable(config),
		changed: make(chan struct{}),
		recent:  quarantine.NewRecent(),
	}
}

// Admit implements forward.Quarantine. A trial is written first, so that no two nodes try
// a request at the same time.
func (q *quarantineGate) Admit(ctx context.Context, content quarantine.Content) forward.Admission {
	if !q.enabled {
		return forward.Admission{}
	}
	for range maxTrialWrites {
		decision := q.await(ctx, content)
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
		if !errors.Is(err, ErrOvertaken) {
			break
		}
	}
	return q.refuse(quarantine.Decision{RetryAfter: retryafter.Unknown})
}

// await decides on a request once no trial of it is under way, or after a while: its
// client would else spend a retry on what is known in a moment.
func (q *quarantineGate) await(ctx context.Context, content quarantine.Content) quarantine.Decision {
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

// admit decides on a request at present, and returns what is closed with the next
// change.
func (q *quarantineGate) admit(content quarantine.Content) (quarantine.Decision, <-chan struct{}) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.table.Admit(q.clock.Now(), content), q.changed
}

func (q *quarantineGate) refuse(decision quarantine.Decision) forward.Admission {
	pass := forward.Admission{Verdict: quarantine.Refuse, Reason: forward.ReasonTrial, RetryAfter: decision.RetryAfter}
	if decision.Held {
		pass.Reason = forward.ReasonQuarantined
	}
	q.metrics.refused.WithLabelValues(string(pass.Reason)).Inc()
	return pass
}

// beginTrial writes that a trial begins. While the store is away a node tries on its own
// account: it refuses what ends a leaf as often as all of them would.
func (q *quarantineGate) beginTrial(ctx context.Context, change quarantine.Change) error {
	if q.storeAway.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, trialWriteTimeout)
	defer cancel()
	return q.write(ctx, change, func() { q.table.Withdraw(change.Content) })
}

// tableChanged wakes who waits for a change of the table, and counts what is in it. The
// caller holds the mutex.
func (q *quarantineGate) tableChanged() {
	close(q.changed)
	q.changed = make(chan struct{})
	known, held := q.table.Len()
	q.metrics.known.Set(float64(known))
	q.metrics.held.Set(float64(held))
}
