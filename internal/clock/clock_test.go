package clock

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fake is a machine whose clocks a test moves.
type fake struct {
	steady, wall, boot time.Duration
	broken             bool
	accounts           int
}

func (f *fake) readings() readings {
	return readings{
		now: func() (steady, wall time.Duration) { return f.steady, f.wall },
		boot: func() (time.Duration, error) {
			f.accounts++
			if f.broken {
				return 0, errors.New("refused")
			}
			return f.boot, nil
		},
	}
}

// run lets time pass.
func (f *fake) run(length time.Duration) {
	f.steady += length
	f.wall += length
	f.boot += length
}

// suspend lets time pass while the machine is suspended.
func (f *fake) suspend(length time.Duration) {
	f.wall += length
	f.boot += length
}

// TestClockCountsSuspensions, at its first reading after each, and nothing else: not
// the jumps of the time of day.
func TestClockCountsSuspensions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &fake{boot: time.Hour, wall: 100 * time.Hour}
		clock := newMonotonic(machine.readings())
		want := clock.Now()
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 3)).Draw(t, "steps") {
			length := time.Duration(rapid.Int64Range(int64(2*tolerance), int64(time.Minute)).Draw(t, "length"))
			switch step {
			case 0:
				machine.run(length)
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
func TestClockWithoutAnAccount(t *testing.T) {
	machine := &fake{broken: true}
	clock := newMonotonic(machine.readings())
	machine.suspend(time.Minute)
	clock.Now()
	machine.broken = false
	machine.run(time.Second)
	machine.suspend(time.Minute)
	if now := clock.Now(); now != time.Second || clock.Failures() == 0 {
		t.Errorf("%v, %d failures", now, clock.Failures())
	}
}

// TestAccountIsReadSeldom: it costs a call of the system.
func TestAccountIsReadSeldom(t *testing.T) {
	machine := &fake{boot: time.Hour}
	clock := newMonotonic(machine.readings())
	for range 10_000 {
		machine.run(time.Millisecond)
		machine.wall += 500 * time.Nanosecond // slewed
		clock.Now()
	}
	if machine.accounts > 3 {
		t.Errorf("%d readings in 10 s", machine.accounts)
	}
}

// TestClockOfThisMachine has an account, and runs.
func TestClockOfThisMachine(t *testing.T) {
	clock := NewMonotonic()
	before := clock.Now()
	clock.Check()
	if after := clock.Now(); after <= before || clock.Failures() != 0 {
		t.Errorf("%v then %v, %d failures", before, after, clock.Failures())
	}
}

// TestWatchTellsOfSuspensions once for each.
func TestWatchTellsOfSuspensions(t *testing.T) {
	machine := &fake{boot: time.Hour}
	clock := newMonotonic(machine.readings())
	machine.suspend(time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	told := make(chan time.Duration, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		clock.Watch(ctx, time.Millisecond, func(length time.Duration) {
			told <- length
			cancel()
		})
	}()
	if length := <-told; length != time.Minute {
		t.Errorf("%v", length)
	}
	<-done
	if len(told) != 0 {
		t.Error("told twice")
	}
}

func BenchmarkNow(b *testing.B) {
	clock := NewMonotonic()
	for b.Loop() {
		clock.Now()
	}
}
