// Rule: when the service counts as saturated. The share of the slots of all usable leaves
// that are in use, by this node and as far as reports tell by others, is kept as a running
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

// fullSaturation is the saturation from which the service counts as overloaded: all
// slots in use.
const fullSaturation = 1.0

// saturation is the share of the slots of all leaves that are in use, as a
// running mean. It is above one if the leaves queue work.
type saturation struct {
	mean float64
	at   Time
}

// saturationMemory is the time constant of the mean. Not measured against others: chosen
// because it spans a few bursts, so that one burst does not make admission strict.
const saturationMemory = 100 * time.Millisecond

// saturated reports whether the service is overloaded, as far as the leaves
// tell.
func (d *Dispatcher) saturated() bool {
	return d.saturation.mean >= fullSaturation
}

// sampleSaturation takes in the present use of the slots.
func (d *Dispatcher) sampleSaturation() {
	busy, slots := 0.0, 0
	for _, l := range d.leaves {
		if l.takesWork() && !l.holdOff.active(d.now) {
			busy += l.reports.mean + float64(len(l.running))
			slots += l.slots
		}
	}
	weight := 1 - fade(d.now-d.saturation.at, saturationMemory)
	d.saturation.mean += weight * (busy/float64(max(slots, 1)) - d.saturation.mean)
	d.saturation.at = d.now
}
