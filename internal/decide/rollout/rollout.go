// Package rollout decides how the traffic of a service moves to leaves of a new version,
// and when it comes back.
//
// The rule: until the time of an order is almost over, the new version (the target) gets
// only a small part of the requests, within bounds that all nodes divide; then all nodes
// move to it, if it has leaves enough and nothing shows that it is worse than the other
// version (the control). As soon as the counts of all nodes show that it is worse, it gets
// nothing more.
//
// Inputs: the operators' orders and the records of the phases, as the store has them; the
// counts of all nodes' attempts at both versions by route and leaf, in buckets of time;
// the slots of the leaves of both; the bounds of the settings (a ratio and a number of
// requests); the time, a duration on the node's clock, and the time of day for records.
//
// Reason: a bad version must reach few requests, whichever node is lost, restarted or cut
// off meanwhile. So each node spends a part of its own by itself (Allowance), under a
// grant that ends by itself; one node judges (Decider); and a phase only moves forward, by
// a conditional write of its Record. docs/design/0015-rollouts.md has the argument and
// what was weighed.
//
// Measurements behind the constants: see allowance.go, steps.go, verdict.go, judgement.go,
// report.go, reporting.go and decider.go. Together, in virtual time, 100 plays each
// (play_test.go): 0 to 1 good versions taken back, 0 to 7 beside a bad leaf, 99 to 100 of
// those that fail three in ten or are four times slower.
//
// The package owns what one node knows of roll-outs: Table, Counter, Reporting,
// Allowance, Decider. It is pure: what has to be written or sent is returned to the driver.
package rollout

import (
	"encoding/json"
	"fmt"
	"time"
)

// Order is an operator's request to move a service to a version.
type Order struct {
	Service string
	// Version is the one that the traffic shall move to: the target.
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Revision is that of the store at which the order was written.
	Revision uint64
}

// Phase is how far a roll-out has come.
type Phase string

// The phases, in their order. RolledBack may follow each but Completed.
const (
	PhaseNone       Phase = ""            // no record yet
	PhaseTrial      Phase = "trial"       // few attempts go to the target
	PhaseBurst      Phase = "burst"       // the rest of the allowance is spent at once
	PhaseShift      Phase = "shift"       // the other leaves get no new attempts
	PhaseCompleted  Phase = "completed"   // the other leaves may be stopped
	PhaseRolledBack Phase = "rolled_back" // the target gets nothing
)

// ranks orders the phases: a roll-out goes only to a higher one.
var phaseRanks = map[Phase]int{PhaseTrial: 1, PhaseBurst: 2, PhaseShift: 3, PhaseCompleted: 4, PhaseRolledBack: 4}

// Ended reports whether no phase follows.
func (p Phase) Ended() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// Shifted reports whether the traffic belongs to the target.
func (p Phase) Shifted() bool { return p == PhaseShift || p == PhaseCompleted }

// Record is the lasting state of a roll-out. It lies in the store.
type Record struct {
	Service string `json:"service"`
	// Order is the revision of the order that it answers.
	Order   uint64 `json:"order"`
	Version string `json:"version"`
	Phase   Phase  `json:"phase"`
	// Reason says what decided the phase.
	Reason string `json:"reason"`
	// OrderedAt is about when the order was given, by the time of day, for nodes that
	// start later.
	OrderedAt time.Time `json:"ordered_at"`
	// Revision is that at which the record was written; zero if it came from another
	// node.
	Revision uint64 `json:"-"`
}

// Encode returns the value of the record in the store.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads the value of a record.
func DecodeRecord(value []byte, revision uint64) (Record, error) {
	record := Record{Revision: revision}
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, fmt.Errorf("record of a roll-out: %w", err)
	}
	if phaseRanks[record.Phase] == 0 {
		return Record{}, fmt.Errorf("record of a roll-out: phase %q is unknown", record.Phase)
	}
	return record, nil
}

// follows reports whether a record may take the place of another: it is of a
// later order, or of a later phase of the same.
func (r Record) follows(previous Record) bool {
	if r.Order != previous.Order {
		return r.Order > previous.Order
	}
	return phaseRanks[r.Phase] > phaseRanks[previous.Phase]
}

// Transition is a step of a roll-out that is to be written. It holds only if the
// order and the former record are still as the decider knew them.
type Transition struct {
	// Record is the new one.
	Record Record
	// Former is the revision of the record that it replaces; zero without one.
	Former uint64
	// Order is the revision of the order; zero if it was withdrawn.
	Order uint64
}
