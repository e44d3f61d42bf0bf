package once

import "time"

// ClockReading holds the clocks of a machine at one moment. Both must be read together, before the
// call that receives them.
type ClockReading struct {
	// Wall is the wall clock. It may jump in either direction.
	Wall time.Time
	// Monotonic is the time since an arbitrary origin. It never decreases, but may stop while the
	// machine is suspended.
	Monotonic time.Duration
}

// clock tracks the readings of one machine.
type clock struct {
	last ClockReading
	// latestWall is the latest plausible wall clock time: the highest one seen, advanced by the
	// monotonic time since.
	latestWall time.Time
}

func newClock(now ClockReading) clock {
	wall := withoutMonotonic(now.Wall)
	return clock{last: ClockReading{Wall: wall, Monotonic: now.Monotonic}, latestWall: wall}
}

// observe records a reading. It reports whether the wall clock advanced since the last reading by
// more than tolerance beyond the monotonic clock.
func (c *clock) observe(now ClockReading, tolerance time.Duration) (wall time.Time, jumpedAhead bool) {
	wall = withoutMonotonic(now.Wall)
	elapsed := max(now.Monotonic-c.last.Monotonic, 0)
	jumpedAhead = wall.Sub(c.last.Wall)-elapsed > tolerance
	c.latestWall = c.latestWall.Add(elapsed)
	if wall.After(c.latestWall) {
		c.latestWall = wall
	}
	c.last = ClockReading{Wall: wall, Monotonic: max(now.Monotonic, c.last.Monotonic)}
	return wall, jumpedAhead
}

// withoutMonotonic strips the monotonic reading that time.Now adds, since a subtraction would use
// it instead of the wall clock.
func withoutMonotonic(wall time.Time) time.Time { return wall.Round(0) }
