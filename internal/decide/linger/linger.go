// Package linger decides when an attempt is cancelled whose answer is no longer needed.
//
// Rule: the attempt continues for the configured time, unless it is overdue. An overdue attempt
// is cancelled immediately. This applies to the loser of a hedge and to the attempts of a caller
// that disconnected.
//
// Inputs: the time for which the attempt may continue (the setting forward.linger, 100 ms by
// default; zero cancels immediately), and whether the Dispatcher considers the attempt overdue (see
// dispatch.Config.AbortAge).
//
// Reason: cancelling an attempt closes its connection. Most attempts are answered soon, after which
// the connection can be reused; cancelling after 1 ms more than doubles the number of new
// connections. An overdue attempt most likely waits in the leaf's queue and would later occupy a
// slot without use.
package linger

import "time"

// Duration returns for how long an attempt continues whose answer is no longer needed, or zero if
// it is cancelled immediately.
func Duration(configured time.Duration, overdue bool) time.Duration {
	if overdue {
		return 0
	}
	return configured
}
