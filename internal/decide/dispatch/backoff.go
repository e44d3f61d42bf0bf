// Rule: backoff. A leaf that failed gets no work for a pause that doubles with each consecutive
// failure. A leaf that refused because of load or because it is cold gets no work for the pause
// that it requests, up to BackoffConfig.Maximum. The next answer of the leaf ends the pause.
// Refusals because of load also count as lost attempts.
//
// Inputs: the end of each attempt, the pause that the leaf requests (zero for none), the configured
// pauses.
//
// Reason: each attempt on a failed leaf costs its query time. Attempts that were in flight together
// fail because of the same event, so they lengthen the pause only once. If refusals because of load
// did not count as lost attempts, a service of two leaves, one of which refuses everything, would
// serve fewer than 15 of 20 requests that arrive 10 ms apart in about half of the cases.

package dispatch

import (
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// learnFromRefusal updates the state of the leaf after a refusal.
func (d *Dispatcher) learnFromRefusal(ended *attempt, refusal Refusal) {
	l := ended.leaf
	switch refusal.Reason {
	case leaf.RefusedShed:
		l.losses.RecordEnd(&d.config.Losses, d.now, true)
		l.limiter.RecordRefusal(d.now)
		l.backoff.extend(d.now + d.requestedPause(refusal.RetryAfter, d.config.Backoff.ShedPause))
	case leaf.RefusedCold:
		l.limiter.Reset(true)
		l.backoff.extend(d.now + d.requestedPause(refusal.RetryAfter, d.config.Backoff.Initial))
	case leaf.RefusedDraining:
		if l.recordDraining(refusal.BootID) {
			d.rebuildViews()
		}
	case leaf.RefusedSnapshot:
		d.markMissing(l, missingHolding{snapshot: ended.snapshot, shard: allShards})
	case leaf.RefusedMoved:
		d.markMissing(l, missingHolding{snapshot: ended.snapshot, shard: ended.shard})
	}
}

// requestedPause returns the pause that a leaf requested, bounded by BackoffConfig.Maximum, or the
// default if it requested none.
func (d *Dispatcher) requestedPause(requested, fallback time.Duration) time.Duration {
	if requested <= 0 {
		return fallback
	}
	return min(requested, d.config.Backoff.Maximum)
}

// backoff is the time until which a leaf gets no work, and the failures that lengthen it.
type backoff struct {
	failures int // consecutive
	until    Time
}

// maximumDoublings bounds the shift that computes the pause. BackoffConfig.Maximum applies long
// before it.
const maximumDoublings = 16

// recordFailure extends the pause, which doubles with each consecutive failure. Failures during a
// pause count once, because their attempts were in flight together.
func (b *backoff) recordFailure(now Time, config BackoffConfig) {
	if b.failures > 0 && b.active(now) {
		return
	}
	pause := min(config.Initial<<min(b.failures, maximumDoublings), config.Maximum)
	b.failures++
	b.extend(now + pause)
}

// extend lengthens the pause so that it lasts at least until the given time.
func (b *backoff) extend(until Time) {
	b.until = max(b.until, until)
}

// active reports whether the leaf is in backoff now.
func (b *backoff) active(now Time) bool {
	return now < b.until
}
