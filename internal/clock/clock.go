// Package clock reads the monotonic clock as a time since an arbitrary origin,
// the form in which the pure decision packages take time.
package clock

import "time"

// Clock tells the time since an arbitrary origin. It never goes back and is not
// moved by changes of the time of day.
type Clock interface {
	Now() time.Duration
}

// Monotonic is the Clock of a running process.
type Monotonic struct {
	origin time.Time
}

// NewMonotonic returns a clock whose origin is the moment of the call.
func NewMonotonic() Monotonic {
	return Monotonic{origin: time.Now()}
}

// Now returns the time since the clock was made.
func (m Monotonic) Now() time.Duration {
	return time.Since(m.origin)
}
