// Package retryafter decides the Retry-After value for a caller whose request the edge node
// refuses.
//
// Rule: only a request that provably ran nowhere gets a Retry-After. The value is the time after
// which the cause of the refusal is likely to be gone. If this node lacks data from the store, that
// time depends on whether the store is available.
//
// Inputs: the status and the reason of the answer; the time that the rule behind the refusal
// advises (a duration, zero if it advises none); whether the store is unavailable.
//
// Reason: a caller retries once or twice. A retry that comes too early meets the same refusal and
// is used up; a retry that comes too late is past the caller's deadline.
//
// Cases in which the node refuses a request or ends it without an answer:
//
//	case                                            status  Retry-After
//	no id, malformed deadline, head or body         400     none: a retry is refused as well
//	head or body larger than the limits             431,413 none
//	body slower than the caller's deadline          408     none
//	no route, the configuration is the newest       404     none
//	no configuration, or no route and the           503     AwaitStore
//	configuration may not be the newest
//	no usable leaf, or too few shards with one      503     AwaitLeaf
//	the predicted wait exceeds the deadline         503     the predicted wait, 50 ms to 5 s
//	                                                        (admission.Config.RetryAfter)
//	leaves refused because of load                  503     the longest time requested by a leaf,
//	                                                        50 ms to 5 s (the same)
//	other proof that nothing ran: no byte was       503     MinDelay
//	sent, no budget for another attempt
//	the deadline passed before anything ran         503     50 ms (minimum of admission)
//	the node stops before an answer could arrive    503     MinDelay: other nodes can run it now
//	the node ends before the body has arrived       503     MinDelay
//	quarantined: its trials closed their leaves     503     until it may be tried again
//	                                                        (quarantine.Table.Admit)
//	a trial is running, and was awaited             503     quarantine.Config.TrialRetryAfter
//	the pause between two trials                    503     the rest of the pause (Table.Admit)
//	the start of a trial could not be recorded      503     StoreReadDelay
//	the deadline passed, it may have run            504     none: the outcome is unknown
//	anything else without an answer                 502     none
//
// A request that another node ran for this one gets the time that the other node decided.
package retryafter

import "time"

const (
	// StoreReadDelay applies if the node lacks the configuration, or a leaf for the request, while
	// the store is available. When a fleet of 295 nodes starts at once, its nodes have the
	// configuration within 0.5 to 0.9 s.
	StoreReadDelay = 600 * time.Millisecond
	// StoreOutageDelay replaces StoreReadDelay while the store is unavailable. It is longer because
	// a caller retries only once or twice, and the data arrives only after the store is back.
	StoreOutageDelay = 2 * time.Second
	// MinDelay is the shortest time that is sent. Zero would make callers retry immediately.
	MinDelay = 10 * time.Millisecond
)

// AwaitStore returns the time for a request that needs data from the store: the configuration, or a
// leaf.
func AwaitStore(storeAway bool) time.Duration {
	if storeAway {
		return StoreOutageDelay
	}
	return StoreReadDelay
}

// AwaitLeaf returns the time for a request that no leaf can run now. advised is the time that the
// Dispatcher advises, or zero if it knows none. Zero is replaced, because an immediate retry would
// find the same leaves.
func AwaitLeaf(advised time.Duration, storeAway bool) time.Duration {
	if advised > 0 {
		return advised
	}
	return AwaitStore(storeAway)
}

// ClampToMin returns the time that is sent for an advised time, which may be zero.
func ClampToMin(advised time.Duration) time.Duration { return max(advised, MinDelay) }
