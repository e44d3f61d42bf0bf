// Package rollout decides how the traffic of a service moves to leaves of a new version, and when
// it moves back.
//
// The rule: until shortly before the deadline of an order, the new version (the target) gets only a
// small part of the requests, within bounds that all nodes share. Then all nodes move to the
// target, if it has enough leaves and no evidence shows that it is worse than the other version
// (the control). As soon as the counts of all nodes show that it is worse, it gets no more
// requests.
//
// Inputs: the operators' orders and the records of the phases from the store; the counts of all
// nodes' attempts at both versions by route and leaf, in buckets of duration; the slots of the
// leaves of both versions; the bounds from the settings (a ratio and a number of requests); the
// time, a duration on the node's clock, and the time of day for records.
//
// Reason: a bad version must reach few requests, whichever node is lost, restarted or disconnected
// in the meantime. Therefore each node spends its own part of the bounds independently (Allowance),
// under a grant that expires; one node evaluates the versions (Decider); and a phase only advances,
// by a conditional write of its Record. docs/design/0015-rollouts.md describes the design and its
// alternatives.
//
// Error rates in 100 simulated rollouts of each case (see TestVerdictErrorRates): 0 to 1 good
// versions are rolled back, and 0 to 7 of those that have or meet a bad leaf; 99 to 100 of the
// versions that fail three in ten attempts or take four times as long are rolled back.
//
// The package holds the state of one node: Table, Counter, DeciderSelector, Allowance and Decider.
// It makes no calls: it returns what must be written or sent to the driver.
package rollout

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/position"
)

// Order is an operator's request to move a service to a version.
type Order struct {
	Service string
	// Version is the version that the traffic moves to: the target.
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Written is the position in the store at which the order was written; zero if there is no order.
	Written position.Position
}

// Exists reports whether there is an order.
func (o Order) Exists() bool { return !o.Written.IsZero() }

// Number returns the revision at which the order was written. A restored store issues revisions
// again, so that only number and version together identify an order.
func (o Order) Number() uint64 { return o.Written.Revision }

// Is reports whether an order is identified by a number and a version. The version is empty in
// messages of nodes of a previous version.
func (o Order) Is(number uint64, version string) bool {
	return number == o.Number() && (version == "" || version == o.Version)
}

// isRepeatedBy reports whether another order is the same one in a restored store: it was in the
// backup, or the operator has written it again.
func (o Order) isRepeatedBy(other Order) bool {
	return o.Exists() && other.Written.Era > o.Written.Era && other.Version == o.Version && other.Duration == o.Duration
}

// Phase is the progress of a rollout.
type Phase string

// Phases in their order. PhaseRolledBack may follow every phase except PhaseCompleted.
const (
	PhaseNone       Phase = ""            // no record yet
	PhaseTrial      Phase = "trial"       // few attempts go to the target
	PhaseBurst      Phase = "burst"       // the rest of the allowance is spent immediately
	PhaseShift      Phase = "shift"       // the control gets no new attempts
	PhaseCompleted  Phase = "completed"   // the leaves of the control may be stopped
	PhaseRolledBack Phase = "rolled_back" // the target gets no attempts
)

// phaseRanks orders the phases: a rollout only moves to a phase of higher rank.
var phaseRanks = map[Phase]int{PhaseTrial: 1, PhaseBurst: 2, PhaseShift: 3, PhaseCompleted: 4, PhaseRolledBack: 4}

// isOpen reports whether a phase has begun that is not final.
func (p Phase) isOpen() bool { return p != PhaseNone && !p.Ended() }

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// Shifted reports whether all new attempts go to the target.
func (p Phase) Shifted() bool { return p == PhaseShift || p == PhaseCompleted }

// Record is the persistent state of a rollout in the store.
type Record struct {
	Service string `json:"service"`
	// Order is the number of the order that the record belongs to. It is zero if the order was
	// withdrawn and a restore of the store has lost the record.
	Order   uint64 `json:"order"`
	Version string `json:"version"`
	Phase   Phase  `json:"phase"`
	// Reason describes why the rollout entered the phase.
	Reason string `json:"reason"`
	// OrderedAt is the approximate time of day of the order, for nodes that start later.
	OrderedAt time.Time `json:"ordered_at"`
	// Revision and Era are the position in the store at which the record was written; zero if this
	// is not known.
	Revision uint64 `json:"-"`
	Era      uint64 `json:"-"`
}

// Written returns the position in the store at which the record was written; zero if this is not
// known.
func (r Record) Written() position.Position {
	return position.Position{Era: r.Era, Revision: r.Revision}
}

// SetWritten sets the position in the store at which the record was written.
func (r *Record) SetWritten(at position.Position) { r.Era, r.Revision = at.Era, at.Revision }

// isSamePhase reports whether two records hold the same phase of the same order.
func (r Record) isSamePhase(other Record) bool {
	return r.isOfSameOrder(other) && r.Phase == other.Phase
}

// isOfSameOrder reports whether two records belong to the same order.
func (r Record) isOfSameOrder(other Record) bool {
	return r.Order == other.Order && r.Version == other.Version
}

// Encode returns the record as it is stored.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes a stored record.
func DecodeRecord(value []byte, written position.Position) (Record, error) {
	var record Record
	record.SetWritten(written)
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fmt.Errorf("decode roll-out record: %w", err)
	}
	if phaseRanks[record.Phase] == 0 {
		return Record{}, fmt.Errorf("decode roll-out record of service %q: unknown phase %q", record.Service, record.Phase)
	}
	return record, nil
}

// follows reports whether the record may replace a previous one: it belongs to a later order, or to
// a later phase of the same order.
func (r Record) follows(previous Record) bool {
	if r.Order != previous.Order {
		return r.Order > previous.Order
	}
	return phaseRanks[r.Phase] > phaseRanks[previous.Phase]
}

// Transition is a step of a rollout that must be written. The write applies only if the order and
// the previous record are unchanged in the store.
type Transition struct {
	// Record is the record to write.
	Record Record
	// Expected is the position of the record that it replaces; zero if there is none.
	Expected position.Position
	// Order is the position of the order; zero if the order was withdrawn.
	Order position.Position
}
