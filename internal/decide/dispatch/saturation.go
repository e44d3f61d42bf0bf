package dispatch

import "time"

// fullSaturation is the saturation from which the service counts as overloaded.
const fullSaturation = 1.0

// saturation is the share of the slots of all leaves that are in use, as a
// running mean. It is above one if the leaves queue work.
type saturation struct {
	mean float64
	at   Time
}

// saturationMemory is the time constant of the mean: a few bursts long.
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
		if l.takesWork() && !l.held(d.now) {
			busy += l.othersMean + float64(len(l.running))
			slots += l.slots
		}
	}
	weight := 1 - fade(d.now-d.saturation.at, saturationMemory)
	d.saturation.mean += weight * (busy/float64(max(slots, 1)) - d.saturation.mean)
	d.saturation.at = d.now
}
