// Package presend decides, directly before an attempt is sent to a leaf, whether it may
// still be sent.
//
// The rule: an attempt is sent only if the node may act, its leaf takes new work, and
// its query has time left. Otherwise no byte leaves, and the Dispatcher is told that the
// attempt was not sent.
//
// Inputs: why the node may not act, if it may not; whether the leaf is usable in the
// newest topology; the time left until the deadline of the query (a duration on the
// node's clock). They are taken in this order, since the question whether the node may
// act can bring in a newer topology, and takes time.
//
// Reason: the process may have been frozen since the Dispatcher decided. What it then
// sends could reach a leaf that was retired, or come after the deadline, when "not run"
// was answered and must stay true.
//
// Constants: none.
package presend

import "time"

// State is what is known directly before a send.
type State struct {
	// Guard is why the node may not act; nil if it may.
	Guard error
	// Usable says that the leaf takes new work.
	Usable bool
	// Remaining is the time left until the deadline of the query.
	Remaining time.Duration
}

// Verdict says whether an attempt may be sent, and if not, why.
type Verdict int

// The verdicts, in the order in which they are given.
const (
	Send      Verdict = iota // it may be sent
	NotFresh                 // the node may not act
	NotUsable                // the leaf takes no new work
	Expired                  // no time is left
)

// Decide returns the verdict on an attempt.
func Decide(state State) Verdict {
	switch {
	case state.Guard != nil:
		return NotFresh
	case !state.Usable:
		return NotUsable
	case state.Remaining <= 0:
		return Expired
	default:
		return Send
	}
}
