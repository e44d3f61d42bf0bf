package clock

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fake is a machine whose clocks a test moves.
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

// run lets time pass.
func (f *fakeMachine) advance(length time.Duration) {
	f.steady += length
	f.wall += length
	f.boot += length
}

// suspend lets time pass while the machine is suspended.
func (f *fakeMachine) suspend(length time.Duration) {
	f.wall += length
	f.boot += length
}

// TestClockCountsSuspensions, at its first reading after each, and nothing else: not
// the jumps of the time of day.
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
				t.Fatalf("%v after step %d of %v, want %v", now, step, length, want)
			}
		}
	})
}

// TestClockWithoutAnAccount goes on without suspensions, and counts that.
func TestNowWithoutBootClock(t *testing.T) {
	machine := &fakeMachine{bootReadFails: true}
	clock := newMonotonic(machine.clockSource())
	machine.suspend(time.Minute)
	clock.Now()
	machine.bootReadFails = false
	machine.advance(time.Second)
	machine.suspend(time.Minute)
	if now := clock.Now(); now != time.Second || clock.Failures() == 0 {
		t.Errorf("%v, %d failures", now, clock.Failures())
	}
}

// TestAccountIsReadSeldom: it costs a call of the system.
func TestBootClockIsReadRarely(t *testing.T) {
	machine := &fakeMachine{boot: time.Hour}
	clock := newMonotonic(machine.clockSource())
	for range 10_000 {
		machine.advance(time.Millisecond)
		machine.wall += 500 * time.Nanosecond // slewed
		clock.Now()
	}
	if machine.bootReads > 3 {
		t.Errorf("%d readings in 10 s", machine.bootReads)
	}
}

// TestClockOfThisMachine has an account, and runs.
func TestSystemClocks(t *testing.T) {
	clock := NewMonotonic()
	before := clock.Now()
	clock.Check()
	if after := clock.Now(); after <= before || clock.Failures() != 0 {
		t.Errorf("%v then %v, %d failures", before, after, clock.Failures())
	}
}

// TestWatchTellsOfSuspensions once for each.
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
		clock.Watch(ctx, time.Millisecond, func(length time.Duration) {
			reported <- length
			cancel()
		})
	}()
	if length := <-reported; length != time.Minute {
		t.Errorf("%v", length)
	}
	<-done
	if len(reported) != 0 {
		t.Error("told twice")
	}
}

func BenchmarkNow(b *testing.B) {
	clock := NewMonotonic()
	for b.Loop() {
		clock.Now()
	}
}
