// Package removal decides for how long a leaf is still used whose announcement has
// vanished from the store.
//
// The rule: an announcement that vanishes during an outage of the store, or in the
// seconds after it, counts for a short time more; if it is back by then, nothing has
// happened. At any other time, and for a leaf that drains, the leaf is out of use at once.
//
// Inputs: the time (a duration on the node's clock), the end of the last outage as this
// node saw it, whether the leaf drains, and two durations of the settings: Doubt and
// Settling.
//
// Reason: a store that was away may have dropped the leases of leaves that are well, and
// these need some time to announce themselves again; without the doubt, all leaves would
// vanish at once. A leaf that has left must get no more work 3 s after its announcement
// went, so the doubt is shorter.
//
// Constants: Doubt is 2 s (forward.leaf_doubt) and Settling 3 s (forward.leaf_settling)
// by default. Not measured: chosen because of the 3 s above, and because leaves take
// some seconds to announce themselves again.
package removal

import "time"

// Config is the policy of a Rule.
type Config struct {
	// Doubt is how long a leaf is still used whose announcement vanished while the
	// store was away, or was just back. It is shorter than the time in which a leaf
	// that left must get no more work.
	Doubt time.Duration
	// Settling is the time after an outage of the store in which removals are doubted:
	// the leaves need it to announce themselves again.
	Settling time.Duration
}

// Rule decides on removals. It is not safe for concurrent use.
type Rule struct {
	config       Config
	settledAfter time.Duration
}

// NewRule returns a Rule that has seen no outage.
func NewRule(config Config) Rule { return Rule{config: config} }

// Outage takes in that the store was away until now.
func (r *Rule) Outage(now time.Duration) { r.settledAfter = now + r.config.Settling }

// UsedUntil returns until when a leaf is used whose announcement vanishes now; doubted
// is false if it is not used any more.
func (r *Rule) UsedUntil(now time.Duration, draining bool) (until time.Duration, doubted bool) {
	if now >= r.settledAfter || draining {
		return 0, false
	}
	return now + r.config.Doubt, true
}
