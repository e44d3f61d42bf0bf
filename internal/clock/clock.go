// Package clock reads the time since an arbitrary origin, the form in which the pure
// decision packages take time, with the time for which the machine was suspended
// counted. It relies on the system's clocks only.
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time since an arbitrary origin. It never goes back, is not moved by
// changes of the time of day, and counts the time for which the machine was
// suspended: whatever is valid for some time is over when that time is.
//
// What only paces calls, or measures how long a peer is silent, reads the steady time
// of package time instead, which stands still while the machine does: a resume must
// not look as if all others had been silent.
type Clock interface {
	Now() time.Duration
}

const (
	// tolerance is how far the time of day may move against the steady time before the
	// machine's own account of suspensions is read. The time of day is slewed by 500
	// parts in a million at most, which makes one more call of the system in 10 s.
	maxWallDrift = 5 * time.Millisecond
	// leastSuspension is the shortest suspension that counts: two clocks that are read
	// one after the other differ by less.
	minSuspension = time.Millisecond
)

// readings are those of the machine's clocks. Steady is the time since the start of
// the process without suspensions, wall the time of day, and boot the time since the
// start of the machine with them.
type clockSource struct {
	now  func() (steady, wall time.Duration)
	boot func() (time.Duration, error)
}

func systemClocks() clockSource {
	origin := time.Now()
	return clockSource{
		now: func() (steady, wall time.Duration) {
			now := time.Now()
			return now.Sub(origin), time.Duration(now.UnixNano())
		},
		boot: func() (time.Duration, error) {
			var timespec unix.Timespec
			err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec)
			return time.Duration(timespec.Nano()), err
		},
	}
}

// Monotonic is the Clock of a running process. It is safe for concurrent use.
//
// It asks for the machine's account of suspensions only when the time of day has moved
// against the steady time, as it does by a suspension: that account costs a call of
// the system, where the other two are read in the process.
type Monotonic struct {
	source clockSource
	// bootOrigin is the machine's account at the origin, if it has one.
	bootOrigin   time.Duration
	hasBootClock bool
	// apart is by how much wall was ahead of steady when the account was read last.
	wallOffset atomic.Int64
	// suspended is the time that steady lacks.
	suspended      atomic.Int64
	bootReadErrors atomic.Int64
}

// NewMonotonic returns a clock whose origin is the moment of the call.
func NewMonotonic() *Monotonic { return newMonotonic(systemClocks()) }

func newMonotonic(source clockSource) *Monotonic {
	m := &Monotonic{source: source}
	boot, ok := m.readBootClock()
	steady, wall := source.now()
	m.bootOrigin, m.hasBootClock = boot-steady, ok
	m.wallOffset.Store(int64(wall - steady))
	return m
}

// Now implements Clock.
func (m *Monotonic) Now() time.Duration {
	steady, wall := m.source.now()
	drift := wall - steady - time.Duration(m.wallOffset.Load())
	if drift > maxWallDrift || drift < -maxWallDrift {
		m.Check()
	}
	return steady + time.Duration(m.suspended.Load())
}

// Check reads the machine's account of suspensions.
func (m *Monotonic) Check() {
	boot, ok := m.readBootClock()
	steady, wall := m.source.now()
	m.wallOffset.Store(int64(wall - steady))
	if !ok || !m.hasBootClock {
		return
	}
	missing := int64(boot - m.bootOrigin - steady)
	for {
		recorded := m.suspended.Load()
		if missing < recorded+int64(minSuspension) || m.suspended.CompareAndSwap(recorded, missing) {
			return
		}
	}
}

// account returns the machine's account; false, and it is counted, if there is none.
func (m *Monotonic) readBootClock() (time.Duration, bool) {
	boot, err := m.source.boot()
	if err != nil {
		m.bootReadErrors.Add(1)
	}
	return boot, err == nil
}

// Suspended returns for how long the machine was suspended since the origin.
func (m *Monotonic) Suspended() time.Duration { return time.Duration(m.suspended.Load()) }

// Failures counts the readings of the machine's account that failed: suspensions are
// not seen then.
func (m *Monotonic) Failures() int64 { return m.bootReadErrors.Load() }

// Watch calls resumed after each suspension, with its length, until ctx ends. It checks
// once in each interval of steady time: timers stand still with the machine, and go
// off too late after it.
func (m *Monotonic) Watch(ctx context.Context, interval time.Duration, onResume func(length time.Duration)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	recorded := m.Suspended()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.Now()
		if now := m.Suspended(); now > recorded {
			onResume(now - recorded)
			recorded = now
		}
	}
}
