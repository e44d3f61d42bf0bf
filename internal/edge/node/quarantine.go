package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/decide/retryafter"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/lease"
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
// implements forward.Quarantine and is safe for concurrent use.
type quarantined struct {
	*Node
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

var _ forward.Quarantine = (*quarantined)(nil)

func newQuarantined(f *Node, registerer prometheus.Registerer) *quarantined {
	config := quarantine.DefaultConfig(f.member.Name + "/" + ulid.Make().String())
	config.MinCrashes = f.settings.Forward.QuarantineAfter
	config.HoldTime = quarantineTTL / 2
	return &quarantined{
		Node:    f,
		enabled: config.MinCrashes > 0 && f.ports.Quarantine != nil,
		lease:   lease.NewShared(f.ports.Quarantine, quarantineTTL, f.clock.Now),
		counts:  newQuarantineMetrics(registerer),
		wake:    make(chan struct{}, 1),
		table:   quarantine.NewTable(config),
		changed: make(chan struct{}),
		recent:  quarantine.NewRecent(),
	}
}

// Admit implements forward.Quarantine. A trial is written first, so that no two nodes try
// a request at the same time.
func (q *quarantined) Admit(ctx context.Context, content quarantine.Content) forward.Admission {
	if !q.enabled {
		return forward.Admission{}
	}
	for range trialTries {
		decision := q.await(ctx, content)
		switch decision.Verdict {
		case quarantine.Run:
			return forward.Admission{}
		case quarantine.Refuse:
			return q.refuse(decision)
		}
		err := q.begin(ctx, decision.Change)
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
// client would else spend a try of its own on what is known in a moment.
func (q *quarantined) await(ctx context.Context, content quarantine.Content) quarantine.Decision {
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

// admit decides on a request as things are, and returns what is closed with the next
// change.
func (q *quarantined) admit(content quarantine.Content) (quarantine.Decision, <-chan struct{}) {
	q.guard.Lock()
	defer q.guard.Unlock()
	return q.table.Admit(q.clock.Now(), content), q.changed
}

func (q *quarantined) refuse(decision quarantine.Decision) forward.Admission {
	pass := forward.Admission{Verdict: quarantine.Refuse, Reason: forward.ReasonTrial, RetryAfter: decision.RetryAfter}
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

// show follows a change of the table. The caller holds the guard.
func (q *quarantined) show() {
	close(q.changed)
	q.changed = make(chan struct{})
	known, held := q.table.Len()
	q.counts.known.Set(float64(known))
	q.counts.held.Set(float64(held))
}
