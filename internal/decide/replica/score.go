package replica

// PricedWork returns the work waiting on the leaf plus the incoming work,
// over the rate of the leaf, in seconds. The rate is that of all its slots.
func PricedWork(c *Candidate, work Work) float64 {
	waiting := (float64(c.InFlight) + c.Others) * work.Mean
	if c.Full() {
		waiting += float64(work.Ahead) * work.Mean
	}
	return c.Slowness * (waiting + work.Base) / float64(c.Slots)
}

// Completion returns the expected time until the leaf has done the incoming
// work, in seconds: the wait for a slot, and the work at the leaf's speed.
func Completion(c *Candidate, work Work) float64 {
	return c.Slowness * (work.Base + work.Mean*Wait(c, work.Ahead))
}

// Wait returns the expected wait for a slot of the leaf, in mean attempts at
// the leaf's speed. A leaf whose limit is reached is waited for in the node,
// behind the attempts ahead.
func Wait(c *Candidate, ahead int) float64 {
	if c.Full() {
		return float64(ahead+1) / float64(max(c.Limit, 1))
	}
	return Queue(float64(c.InFlight)+c.Others, c.Slots)
}

// Queue returns the expected wait for a slot, in mean attempts, on a leaf with
// the given number of attempts. The number is an estimate, so the wait rises
// smoothly from zero before the slots are used up.
func Queue(attempts float64, slots int) float64 {
	size := float64(slots)
	excess := attempts + 1 - size
	if excess >= 1 {
		return excess / size
	}
	if excess <= -1 {
		return 0
	}
	// The parabola that meets both lines with their slopes.
	return (excess + 1) * (excess + 1) / 4 / size
}
