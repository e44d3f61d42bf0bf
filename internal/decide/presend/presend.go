// Package presend decides, directly before an attempt is sent to a leaf, whether it may still
// be sent.
//
// Rule: an attempt is sent only if the node may act, its leaf accepts new work, and its query
// has time left. Otherwise no byte is sent, and the Dispatcher is notified that the attempt was not
// sent.
//
// Inputs: the reason why the node may not act, if any; whether the leaf is usable in the newest
// topology; the time until the deadline of the query (a duration on the node's clock). They are
// read in this order, because checking whether the node may act takes time and can install a
// newer topology.
//
// Reason: the process may have been suspended since the Dispatcher decided. An attempt sent then
// could reach a retired leaf, or be sent after the deadline, when the query was already reported
// as "not run", which must stay true.
package presend

import "time"

// State holds what is known directly before a send.
type State struct {
	// GuardErr is the reason why the node may not act, or nil.
	GuardErr error
	// LeafUsable is set if the leaf accepts new work.
	LeafUsable bool
	// Remaining is the time until the deadline of the query.
	Remaining time.Duration
}

// Verdict is the decision whether an attempt may be sent, and if not, why.
type Verdict int

// The verdicts. The checks behind the last three are made in this order.
const (
	Send           Verdict = iota // the attempt may be sent
	NodeNotFresh                  // the node may not act
	LeafNotUsable                 // the leaf accepts no new work
	DeadlinePassed                // no time is left
)

// Decide returns the verdict on an attempt.
func Decide(state State) Verdict {
	switch {
	case state.GuardErr != nil:
		return NodeNotFresh
	case !state.LeafUsable:
		return LeafNotUsable
	case state.Remaining <= 0:
		return DeadlinePassed
	default:
		return Send
	}
}
