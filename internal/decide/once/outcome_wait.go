// Rule: waiting for the outcome. A request that may run once ends by its deadline if it provably did
// not run. If it may have run, the owner of its id waits OutcomeWait longer for the leaf, and the
// caller's node ForwardedOutcomeWait longer for the owner. Nothing is sent in that time.
//
// Inputs: none.
//
// Reason: the caller of a request of unknown outcome can neither count on it nor submit it under a
// new id. A leaf or an owner that was paused, or whose reply is on its way, knows the outcome a
// moment later. A caller that does not want to wait can disconnect and submit the id again, which
// returns the recorded outcome; a node that has answered cannot take "unknown" back.

package once

import "time"

const (
	// OutcomeWait is as long as the default freshness window: a process that was paused for longer
	// is treated as failed by the others.
	OutcomeWait = 5 * time.Second
	// ForwardedOutcomeWait is longer than OutcomeWait by the way between two nodes, so that the
	// outcome that the owner learns last still arrives.
	ForwardedOutcomeWait = OutcomeWait + 500*time.Millisecond
)
