// Rule: when the service counts as saturated. The share of the slots of all usable leaves
// that are in use, by this node and by reports of other nodes, is kept as a running
// mean; from fullSaturation on, admission is strict and waiting work is not predicted to
// be promoted in time.
//
// Inputs: attempts in flight, reported attempts of other nodes, slots, the time since the
// last sample.
//
// Reason: with free slots a query that waits is promoted in the end; without any it may
// starve, and rates of the past are too good.

package dispatch

import "time"

// loadEstimate is how loaded the service is, by what the leaves report.
type loadEstimate struct {
	saturation     saturation
	urgentArrivals meter // work that arrived with the highest priority
	sent           meter // work that was sent
}

// saturation is the share of the slots of all leaves that are in use, as a
// running mean. It is above one if the leaves queue work.
type saturation struct {
	mean float64
	at   Time
}

// fullSaturation is the saturation from which the service counts as overloaded: all
// slots in use.
const saturatedShare = 1.0

// saturationMemory is the time constant of the mean. Not measured against others: chosen
// because it spans a few bursts, so that one burst does not make admission strict.
const saturationTimeConstant = 100 * time.Millisecond

// full reports whether the service is overloaded.
func (s *saturation) saturated() bool {
	return s.mean >= saturatedShare
}

// sample takes in how many of the slots are in use now.
func (s *saturation) sample(now Time, busy float64, slots int) {
	weight := 1 - decay(now-s.at, saturationTimeConstant)
	s.mean += weight * (busy/float64(max(slots, 1)) - s.mean)
	s.at = now
}

// leftByUrgent returns the share of the node's work, from 0 to 1, that the most urgent
// work leaves to the rest, if the leaves are saturated.
func (l *loadEstimate) shareLeftByUrgent(now Time) float64 {
	sent := l.sent.rate(now, shortTimeConstant)
	if sent == 0 {
		return 1
	}
	return max(1-l.urgentArrivals.rate(now, shortTimeConstant)/sent, 0)
}

// sampleSaturation takes in the present use of the slots.
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
