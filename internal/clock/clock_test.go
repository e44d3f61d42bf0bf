package clock

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeMachine simulates the clocks of a machine.
type fakeMachine struct {
	steady, wall, boot time.Duration
	bootReadFails      bool
	bootReads          int
}

func (f *fakeMachine) clockSource() clockSource {
	return clockSource{
		now: func() (steady, wall time.Duration) { return f.steady, f.wall },
		boot: func() (time.Duration, error) {
			f.bootReads++
			if f.bootReadFails {
				return 0, errors.New("refused")
			}
			return f.boot, nil
		},
	}
}

// advance moves all clocks forward.
func (f *fakeMachine) advance(length time.Duration) {
	f.steady += length
	f.wall += length
	f.boot += length
}

// suspend simulates a suspension, during which the steady clock stops.
func (f *fakeMachine) suspend(length time.Duration) {
	f.wall += length
	f.boot += length
}

// TestNowCountsSuspensionsOnly checks that the first reading after a suspension includes it, and
// that steps of the wall clock have no effect.
func TestNowCountsSuspensionsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &fakeMachine{boot: time.Hour, wall: 100 * time.Hour}
		clock := newMonotonic(machine.clockSource())
		want := clock.Now()
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 3)).Draw(t, "steps") {
			length := time.Duration(rapid.Int64Range(int64(2*maxWallDrift), int64(time.Minute)).Draw(t, "length"))
			switch step {
			case 0:
				machine.advance(length)
				want += length
			case 1:
				machine.suspend(length)
				want += length
			case 2:
				machine.wall += length
			default:
				machine.wall -= length
			}
			if now := clock.Now(); now != want {
				t.Fatalf("got %v after step %d of %v, want %v", now, step, length, want)
			}
		}
	})
}

// TestNowWithoutBootClock checks that a clock whose first reading of the boot clock failed runs
// without suspensions, and counts the failure.
func TestNowWithoutBootClock(t *testing.T) {
	machine := &fakeMachine{bootReadFails: true}
	clock := newMonotonic(machine.clockSource())
	machine.suspend(time.Minute)
	clock.Now()
	machine.bootReadFails = false
	machine.advance(time.Second)
	machine.suspend(time.Minute)
	if now := clock.Now(); now != time.Second || clock.BootClockErrors() == 0 {
		t.Errorf("got %v and %d failures, want 1s and at least one failure", now, clock.BootClockErrors())
	}
}

// TestBootClockIsReadRarely guards against a system call per reading: a wall clock that is
// slew of 500 ppm at the maximum rate of 500 ppm causes few readings of the boot clock.
func TestBootClockIsReadRarely(t *testing.T) {
	machine := &fakeMachine{boot: time.Hour}
	clock := newMonotonic(machine.clockSource())
	for range 10_000 {
		machine.advance(time.Millisecond)
		machine.wall += 500 * time.Nanosecond // slew of 500 ppm
		clock.Now()
	}
	if machine.bootReads > 3 {
		t.Errorf("got %d readings of the boot clock in 10 s, want at most 3", machine.bootReads)
	}
}

// TestSystemClocks checks that the boot clock of the operating system can be read and that the
// clock advances.
func TestSystemClocks(t *testing.T) {
	clock := NewMonotonic()
	before := clock.Now()
	clock.detectSuspension()
	if after := clock.Now(); after <= before || clock.BootClockErrors() != 0 {
		t.Errorf("got %v, then %v with %d failures, want a later time and no failures", before, after, clock.BootClockErrors())
	}
}

func TestWatchReportsEachSuspensionOnce(t *testing.T) {
	machine := &fakeMachine{boot: time.Hour}
	clock := newMonotonic(machine.clockSource())
	machine.suspend(time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	reported := make(chan time.Duration, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		clock.WatchSuspensions(ctx, time.Millisecond, func(length time.Duration) {
			reported <- length
			cancel()
		})
	}()
	if length := <-reported; length != time.Minute {
		t.Errorf("got a suspension of %v, want %v", length, time.Minute)
	}
	<-done
	if len(reported) != 0 {
		t.Errorf("got %d further reports of the same suspension, want 0", len(reported))
	}
}

func BenchmarkNow(b *testing.B) {
	clock := NewMonotonic()
	for b.Loop() {
		clock.Now()
	}
}
