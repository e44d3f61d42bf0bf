// Package presend decides, directly before an attempt is sent to a leaf, whether it may still
// be sent.
//
// Rule: an attempt is sent only if the node may act, its leaf accepts new work, the attempt is still
// wanted, and there is time left in which the Dispatcher would send it. Otherwise no byte is sent,
// and the Dispatcher is notified that the attempt was not sent. An attempt that waits for a
// connection to its leaf is checked while it waits, and again when it has the connection.
//
// Inputs: the reason why the node may not act, if any; whether the leaf is usable in the newest
// topology; whether the attempt was aborted or its query has ended; the time until the last send of
// the query (a duration on the node's clock). They are read in this order, because checking whether
// the node may act takes time and can install a newer topology.
//
// Reason: the process may have been suspended since the Dispatcher decided, or all connections to
// the leaf may have been in use for long. An attempt sent then could reach a retired leaf, or be
// sent after the deadline, when the query was already reported as "not run", which must stay true,
// or run although too little time is left for its answer.
package presend

import "time"

// State holds what is known directly before a send.
type State struct {
	// GuardErr is the reason why the node may not act, or nil.
	GuardErr error
	// LeafUsable is set if the leaf accepts new work.
	LeafUsable bool
	// Unwanted is set if the attempt was aborted or its query has ended.
	Unwanted bool
	// UntilLastSend is the time until the query gets no more attempts, at the latest its deadline.
	UntilLastSend time.Duration
}

// Verdict is the decision whether an attempt may be sent, and if not, why.
type Verdict int

// The verdicts. The checks behind the last four are made in this order.
const (
	Send          Verdict = iota // the attempt may be sent
	NodeNotFresh                 // the node may not act
	LeafNotUsable                // the leaf accepts no new work
	NotWanted                    // nobody waits for the answer
	TooLate                      // too little time is left
)

// Decide returns the verdict on an attempt.
func Decide(state State) Verdict {
	switch {
	case state.GuardErr != nil:
		return NodeNotFresh
	case !state.LeafUsable:
		return LeafNotUsable
	case state.Unwanted:
		return NotWanted
	case state.UntilLastSend <= 0:
		return TooLate
	default:
		return Send
	}
}
