package query

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/once"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// expireInterval is the time between two looks for ids to forget.
const expireInterval = time.Second

// fate is what came of a request that ran at most once: exactly one is set.
type fate struct {
	answer  *api.QueryResponse
	problem *api.Problem
}

func (f fate) err() error {
	if f.problem == nil {
		return nil
	}
	return f.problem
}

// OwnershipProof reports whether a majority of the voters has, after the given
// reading of the monotonic clock, acknowledged this process and hold the given
// revision.
type OwnershipProof func(after time.Duration, revision uint64) bool

// Ledger keeps the ids that this node owns. It is suspended whenever the
// voting set changes, until the new ownership is proved. It is safe for
// concurrent use.
type Ledger struct {
	clock clock.Clock
	// wall reads the time of day.
	wall   func() time.Time
	proved OwnershipProof

	mutex  sync.Mutex
	ledger *once.Ledger[fate]
	// votersRevision is the revision of the newest change of the voting set
	// that this node knows of.
	votersRevision uint64
	// pending is the change of the voting set that is not yet proved.
	pending *ownership
}

// ownership is a voting set that this node has installed.
type ownership struct {
	installed time.Duration
	revision  uint64
}

// NewLedger returns a Ledger that lets nothing through until a voting set is
// set and proved.
func NewLedger(config once.Config, source clock.Clock, proved OwnershipProof) *Ledger {
	return newLedger(config, source, time.Now, proved)
}

func newLedger(config once.Config, source clock.Clock, wall func() time.Time, proved OwnershipProof) *Ledger {
	ledger := &Ledger{clock: source, wall: wall, proved: proved}
	ledger.ledger = once.NewLedger[fate](config, ledger.reading())
	ledger.ledger.Suspend()
	return ledger
}

func (l *Ledger) reading() once.ClockReading {
	return once.ClockReading{Wall: l.wall(), Monotonic: l.clock.Now()}
}

// SetVoters takes the newest change of the voting set. The revision counts,
// not the names: a node that missed two changes which cancel out must be
// suspended too, since an owner in between may have run its ids.
func (l *Ledger) SetVoters(votersRevision uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setVoters(votersRevision)
}

func (l *Ledger) setVoters(votersRevision uint64) {
	if votersRevision <= l.votersRevision {
		return
	}
	l.votersRevision = votersRevision
	l.ledger.Suspend()
	l.pending = &ownership{installed: l.clock.Now(), revision: votersRevision}
}

// Run forgets old ids until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.mutex.Lock()
			l.settle()
			l.ledger.Expire(l.reading())
			l.mutex.Unlock()
		}
	}
}

// settle ends the suspension once the new ownership is proved.
func (l *Ledger) settle() {
	if l.pending == nil || !l.proved(l.pending.installed, l.pending.revision) {
		return
	}
	l.pending = nil
	l.ledger.Reset(l.reading())
}

// begin decides about an id that this node owns by the voting set of a
// catalog, which is named by the revision of its newest change. It may be newer
// than the one that SetVoters took last: it is installed first. If it is
// older, the node may not be the owner any more, and the id is refused.
func (l *Ledger) begin(id ulid.ULID, votersRevision uint64) once.Decision[fate] {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setVoters(votersRevision)
	if votersRevision < l.votersRevision {
		return once.Decision[fate]{Kind: once.Refuse, Reason: once.ReasonSuspended, MayHaveRun: true}
	}
	l.settle()
	return l.ledger.Begin(l.reading(), id)
}

// holds reports whether the ownership under which a decision was taken lasts.
func (l *Ledger) holds(decision once.Decision[fate]) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ledger.OwnershipHolds(decision)
}

func (l *Ledger) finish(id ulid.ULID, ended fate) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ledger.Finish(id, ended)
}

func (l *Ledger) release(id ulid.ULID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ledger.Release(id)
}
