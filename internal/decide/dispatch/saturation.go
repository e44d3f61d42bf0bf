// Rule: saturation. The share of the slots of all usable leaves that are in use, by this node and
// by other nodes according to load reports, is kept as a running mean. From saturatedShare on,
// admission is strict and the prediction does not rely on the promotion of waiting work.
//
// Inputs: attempts in flight, reported attempts of other nodes, slots, the time since the last
// sample.
//
// Reason: with free slots a waiting query is promoted and served. Without free slots it may starve,
// and the rates of the past are too optimistic.

package dispatch

import "time"

// loadEstimate is the load of the service according to the reports of its leaves.
type loadEstimate struct {
	saturation     saturation
	urgentArrivals meter // work that arrived with the highest priority
	sent           meter // work that was sent
}

// saturation is the running mean of the share of all slots that are in use. It exceeds one if the
// leaves queue work.
type saturation struct {
	mean float64
	at   Time
}

// saturatedShare is the saturation from which the service counts as saturated: all slots are in
// use.
const saturatedShare = 1.0

// saturationTimeConstant is the time constant of the mean. It spans a few bursts, so that a single
// burst does not make admission strict.
const saturationTimeConstant = 100 * time.Millisecond

// saturated reports whether all slots are in use.
func (s *saturation) saturated() bool {
	return s.mean >= saturatedShare
}

// sample adds the number of slots in use now to the mean.
func (s *saturation) sample(now Time, busy float64, slots int) {
	weight := 1 - decay(now-s.at, saturationTimeConstant)
	s.mean += weight * (busy/float64(max(slots, 1)) - s.mean)
	s.at = now
}

// shareLeftByUrgent returns the share of the node's work, from 0 to 1, that the most urgent work
// leaves to other classes while the leaves are saturated.
func (l *loadEstimate) shareLeftByUrgent(now Time) float64 {
	sent := l.sent.rate(now, shortTimeConstant)
	if sent == 0 {
		return 1
	}
	return max(1-l.urgentArrivals.rate(now, shortTimeConstant)/sent, 0)
}

// sampleSaturation samples the current use of the slots.
func (d *Dispatcher) sampleSaturation() {
	busy, slots := 0.0, 0
	for _, l := range d.fleet.leaves {
		if l.acceptsWork() && !l.backoff.active(d.now) {
			busy += l.loadReports.meanOthers + float64(len(l.running))
			slots += l.slots
		}
	}
	d.load.saturation.sample(d.now, busy, slots)
}
