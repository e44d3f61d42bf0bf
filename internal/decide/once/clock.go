package once

import "time"

// Reading is the state of a machine's clocks at one moment. Take both in one
// go, before the call that they are handed to.
type Reading struct {
	// Wall is the time of day. It may jump either way.
	Wall time.Time
	// Monotonic is the time since an arbitrary origin. It never goes back, but
	// may stand still while the machine is suspended.
	Monotonic time.Duration
}

// clock follows the readings of one machine.
type clock struct {
	last Reading
	// latest is the latest time of day that the machine can believe in: the
	// highest seen, moved on by the monotonic time since.
	latestWall time.Time
}

func newClock(now Reading) clock {
	wall := withoutMonotonic(now.Wall)
	return clock{last: Reading{Wall: wall, Monotonic: now.Monotonic}, latestWall: wall}
}

// observe takes a reading. It reports whether the time of day ran ahead of the
// monotonic clock by more than tolerance since the last reading.
func (c *clock) observe(now Reading, tolerance time.Duration) (wall time.Time, jumpedAhead bool) {
	wall = withoutMonotonic(now.Wall)
	elapsed := max(now.Monotonic-c.last.Monotonic, 0)
	jumpedAhead = wall.Sub(c.last.Wall)-elapsed > tolerance
	c.latestWall = c.latestWall.Add(elapsed)
	if wall.After(c.latestWall) {
		c.latestWall = wall
	}
	c.last = Reading{Wall: wall, Monotonic: max(now.Monotonic, c.last.Monotonic)}
	return wall, jumpedAhead
}

// withoutMonotonic strips the monotonic reading that time.Now adds, since
// subtraction would use it in place of the time of day.
func withoutMonotonic(wall time.Time) time.Time { return wall.Round(0) }
