// Package retryafter decides what Retry-After a caller receives that the edge node
// refuses.
//
// The rule: only a request that provably ran nowhere gets a Retry-After, and it is the
// time after which the cause of the refusal is likely to be gone. Where the cause is
// that this node lacks what only the store tells, that time depends on whether the
// store answers.
//
// Inputs: the status and the reason of the answer; the time that the rule behind the
// refusal advises (a duration, zero if it advises none); whether the store is away.
//
// Reason: a caller retries once or twice. One that retries too early meets the same
// refusal and has spent its retry; one that retries too late is past its deadline.
//
// Each case in which the node refuses a request or ends it without an answer:
//
//	case                                            status  Retry-After
//	no id, malformed deadline, head or body         400     none: a retry is refused alike
//	head or body larger than the limits             431,413 none
//	body slower than the caller's deadline          408     none
//	no route, the configuration is the newest       404     none
//	no configuration, or no route and the           503     Uninformed
//	configuration may not be the newest
//	no usable leaf, or too few shards with one      503     WithoutLeaf
//	the predicted wait exceeds the deadline         503     the predicted wait, 50 ms to 5 s
//	                                                        (admission.Config.RetryAfter)
//	leaves refused for load                         503     the longest time that one asked
//	                                                        for, 50 ms to 5 s (the same)
//	other proof that nothing ran: no byte was       503     Least
//	sent, no budget for another attempt
//	the deadline passed before anything ran         503     50 ms (admission's least)
//	quarantined: its trials closed their leaves     503     until it may be tried again
//	                                                        (quarantine.Table.Admit)
//	a trial is running, and was awaited             503     quarantine.Config.TrialRetryAfter
//	the pause between two trials                    503     the rest of it (Table.Admit)
//	the start of a trial could not be recorded      503     Unknown
//	the deadline passed, it may have run            504     none: it is not known not to run
//	anything else without an answer                 502     none
//
// A request that another node ran for this one gets the time that the other decided.
package retryafter

import "time"

const (
	// Unknown is for a node that lacks the configuration, or a leaf for the request,
	// while the store answers. Nodes of a fleet of 295 that started as a whole had the
	// configuration 0.5 to 0.9 s after the first of them listened.
	Unknown = 600 * time.Millisecond
	// Outage takes its place while the store does not answer: neither comes before the
	// store does. Not measured: chosen because a caller retries only once or twice.
	Outage = 2 * time.Second
	// Least is the shortest time that is sent. Not measured: chosen because zero has
	// callers retry within the same moment.
	MinDelay = 10 * time.Millisecond
)

// Uninformed returns the time for a request that needs what only the store tells this
// node: the configuration, or a leaf.
func Uninformed(storeAway bool) time.Duration {
	if storeAway {
		return Outage
	}
	return Unknown
}

// WithoutLeaf returns the time for a request that no leaf can take now. Advised is
// what the Dispatcher knows; zero if it knows no time: an immediate retry would meet
// the same leaves.
func WithoutLeaf(advised time.Duration, storeAway bool) time.Duration {
	if advised > 0 {
		return advised
	}
	return Uninformed(storeAway)
}

// OnWire returns the time that is sent for an advised one, which may be zero.
func OnWire(advised time.Duration) time.Duration { return max(advised, MinDelay) }
