// Package clock provides a monotonic clock that counts the time for which the machine was
// suspended. Times are durations since an arbitrary origin, which is the form in which the
// decision packages take time.
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary origin. The time never decreases and is independent
// of changes to the wall clock. It includes suspensions of the machine, so that leases,
// deadlines and other validity periods expire on time after a resume.
//
// Code that paces calls, or that measures for how long a peer has not responded, must use the
// monotonic time of package time instead, which stops during a suspension. Otherwise all peers
// would appear unresponsive after a resume.
type Clock interface {
	Now() time.Duration
}

const (
	// maxWallDrift is how far the wall clock may drift from the steady clock before the boot
	// clock is read. NTP slews the wall clock by at most 500 ppm, which causes one additional
	// system call every 10 s.
	maxWallDrift = 5 * time.Millisecond
	// minSuspension is the shortest suspension that is counted. It exceeds the difference that
	// results from reading two clocks one after the other.
	minSuspension = time.Millisecond
)

// clockSource reads the clocks of the machine.
type clockSource struct {
	// now returns the steady time, which is the time since the start of the process without
	// suspensions, and the wall-clock time.
	now func() (steady, wall time.Duration)
	// boot returns the time since the boot of the machine, including suspensions.
	boot func() (time.Duration, error)
}

// systemClocks returns the clocks of the operating system.
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
// A suspension makes the wall clock advance against the steady clock. Monotonic reads the boot
// clock only after such a shift, because reading the boot clock takes a system call and reading
// the other two does not.
type Monotonic struct {
	source clockSource
	// bootOrigin is the boot time at the origin. It is valid if hasBootClock is true.
	bootOrigin   time.Duration
	hasBootClock bool
	// wallOffset is the difference of wall time and steady time when the boot clock was last read.
	wallOffset atomic.Int64
	// suspended is the total length of the suspensions, which the steady time does not include.
	suspended      atomic.Int64
	bootReadErrors atomic.Int64
}

// NewMonotonic returns a clock whose origin is the time of the call.
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
		m.detectSuspension()
	}
	return steady + time.Duration(m.suspended.Load())
}

// detectSuspension reads the boot clock and updates the total length of suspensions.
func (m *Monotonic) detectSuspension() {
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

// readBootClock returns the boot time. If the clock cannot be read, it counts the failure and
// returns false.
func (m *Monotonic) readBootClock() (time.Duration, bool) {
	boot, err := m.source.boot()
	if err != nil {
		m.bootReadErrors.Add(1)
	}
	return boot, err == nil
}

// Suspended returns the total length of the suspensions since the origin.
func (m *Monotonic) Suspended() time.Duration { return time.Duration(m.suspended.Load()) }

// BootClockErrors returns how often the boot clock could not be read. Suspensions are not detected
// while it cannot be read.
func (m *Monotonic) BootClockErrors() int64 { return m.bootReadErrors.Load() }

// WatchSuspensions calls onResume with the length of each suspension until ctx ends. It checks once
// per interval of steady time, because timers stop during a suspension and cannot fire at its end.
func (m *Monotonic) WatchSuspensions(ctx context.Context, interval time.Duration, onResume func(length time.Duration)) {
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
