// Rule: cold leaves. While a leaf is cold, this node sends it at most the given number of attempts
// in any second, and none if that number is below one. A cold leaf that gets none is not a replica
// for which a shard waits.
//
// Inputs: the time until which the leaf is cold, this node's rate (attempts per second).
//
// Reason: a cold leaf that gets far more attempts than it can handle fails all of them, so the
// nodes divide its capacity among them. Without the rule, cold leaves get more attempts than they
// can handle.

package dispatch

// warmup bounds the attempts of this node on a leaf while the leaf is cold. The zero value bounds
// nothing.
//
// It is a token bucket with a capacity of one. The bucket is filled at the rate minus one token per
// second, because a full bucket allows one attempt more in any second.
type warmup struct {
	until      Time
	rate       float64 // maximum attempts in any second; none if below one
	tokens     float64
	refilledAt Time // time to which tokens refers
}

// set changes the bounds. A leaf that turns cold starts with a full bucket.
func (w *warmup) set(now, until Time, rate float64) {
	if now >= w.until {
		w.tokens, w.refilledAt = 1, now
	}
	w.until, w.rate = until, rate
}

// blocked reports whether this node sends nothing to the leaf until it is warm.
func (w *warmup) blocked(now Time) bool { return now < w.until && w.rate < 1 }

// allows reports whether an attempt may be sent now.
func (w *warmup) allows(now Time) bool {
	if now >= w.until {
		return true
	}
	w.refill(now)
	return w.rate >= 1 && w.tokens >= 1
}

// refill adds the tokens for the time since the last refill.
func (w *warmup) refill(now Time) {
	w.tokens = min(w.tokens+max(w.rate-1, 0)*(now-w.refilledAt).Seconds(), 1)
	w.refilledAt = now
}

// spend takes the token of an attempt.
func (w *warmup) spend(now Time) {
	if now < w.until {
		w.refill(now)
		w.tokens--
	}
}
