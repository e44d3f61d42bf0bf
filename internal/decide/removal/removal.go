// Package removal decides how long a leaf stays in use after its announcement was removed from the
// store.
//
// Rule: an announcement that is removed during an outage of the store, or in the seconds after the
// outage, remains valid for a grace period. If it is back by then, the leaf was in use without
// interruption. At any other time, and if the leaf is draining, the leaf is out of use immediately.
//
// Inputs: the time (a duration on the node's clock), the end of the last outage as seen by this
// node, whether the leaf is draining, and two durations of the settings: GracePeriod and
// SettlingTime.
//
// Reason: a store that was unavailable may have expired the leases of healthy leaves, which need
// some time to announce themselves again. Without the grace period, all leaves would be out of use
// immediately.
package removal

import "time"

// Config holds the policy of a Rule.
type Config struct {
	// GracePeriod is the grace period of a leaf whose announcement was removed during or just after
	// an outage of the store (setting forward.leaf_doubt, 2 s by default). It is shorter than 3 s,
	// the time after which a leaf that left must get no more work.
	GracePeriod time.Duration
	// SettlingTime is the time after an outage of the store in which removals get a grace period:
	// the leaves take some seconds to announce themselves again (setting forward.leaf_settling, 3 s
	// by default).
	SettlingTime time.Duration
}

// Rule decides on removals. It is not safe for concurrent use.
type Rule struct {
	config       Config
	settledAfter time.Duration
}

// NewRule returns a Rule that has recorded no outage.
func NewRule(config Config) Rule { return Rule{config: config} }

// RecordOutage records that the store was unavailable until now.
func (r *Rule) RecordOutage(now time.Duration) { r.settledAfter = now + r.config.SettlingTime }

// UsedUntil returns until when a leaf stays in use whose announcement is removed now. doubted is
// false if the leaf is out of use immediately.
func (r *Rule) UsedUntil(now time.Duration, draining bool) (until time.Duration, doubted bool) {
	if now >= r.settledAfter || draining {
		return 0, false
	}
	return now + r.config.GracePeriod, true
}
