package once

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
)

// at is the reading of a correct clock.
func at(since time.Duration) Reading { return Reading{Wall: base.Add(since), Monotonic: since} }

func newID(since time.Duration, number byte) ulid.ULID {
	var id ulid.ULID
	_ = id.SetTime(uint64(base.Add(since).UnixMilli()))
	id[15] = number
	return id
}

func checkDecision(t *testing.T, decision Decision[int], kind Kind, reason Reason, mayHaveRun bool) {
	t.Helper()
	if decision.Kind != kind || decision.Reason != reason || decision.MayHaveRun != mayHaveRun {
		t.Fatalf("expected %s %s (may have run: %v), got %+v", kind, reason, mayHaveRun, decision)
	}
}

func TestIDLifecycle(t *testing.T) {
	ledger := NewLedger[int](testConfig(), at(0))
	fenced := ledger.Begin(at(time.Second), newID(time.Second, 1))
	checkDecision(t, fenced, Refuse, ReasonFenced, true)
	if fenced.RetryAfter != 10*time.Second+time.Millisecond {
		t.Fatalf("the fence of 11 s ends in %s", fenced.RetryAfter)
	}
	id := newID(20*time.Second, 2)
	checkDecision(t, ledger.Begin(at(14*time.Second), id), Refuse, ReasonFuture, false)
	checkDecision(t, ledger.Begin(at(20*time.Second), id), Run, "", false)
	checkDecision(t, ledger.Begin(at(20*time.Second), id), InProgress, "", false)
	ledger.Release(id)
	checkDecision(t, ledger.Begin(at(21*time.Second), id), Run, "", false)
	ledger.Finish(id, 7)
	ledger.Release(id)
	if replay := ledger.Begin(at(22*time.Second), id); replay.Kind != Replay || replay.Outcome != 7 {
		t.Fatalf("expected the outcome again, got %+v", replay)
	}
	ledger.Expire(at(60 * time.Second))
	checkDecision(t, ledger.Begin(at(60*time.Second), id), Refuse, ReasonTooOld, true)
	checkDecision(t, ledger.Begin(at(60*time.Second), newID(25*time.Second, 3)), Refuse, ReasonTooOld, false)
	if ledger.Length() != 0 {
		t.Fatalf("%d ids are left", ledger.Length())
	}
}

func TestFullLedgerRefusesUntilIDsExpire(t *testing.T) {
	config := testConfig()
	ledger := NewLedger[int](config, at(0))
	for number := range byte(config.Capacity) {
		id := newID(20*time.Second, number)
		checkDecision(t, ledger.Begin(at(20*time.Second), id), Run, "", false)
		ledger.Finish(id, 1)
	}
	full := ledger.Begin(at(21*time.Second), newID(21*time.Second, 9))
	checkDecision(t, full, Refuse, ReasonFull, false)
	checkDecision(t, ledger.Begin(at(21*time.Second+full.RetryAfter+time.Second), newID(50*time.Second, 9)), Run, "", false)
}

func TestUnfinishedIDsAreNotForgotten(t *testing.T) {
	ledger := NewLedger[int](testConfig(), at(0))
	id := newID(20*time.Second, 1)
	checkDecision(t, ledger.Begin(at(20*time.Second), id), Run, "", false)
	ledger.Expire(at(time.Hour))
	checkDecision(t, ledger.Begin(at(time.Hour), id), InProgress, "", false)
}

// A clock that is back by a minute when the ownership starts anew would set
// the fence a minute too low.
func TestFenceUsesLatestWallClock(t *testing.T) {
	fencedAfterJump := func(disabled disabledMechanisms) bool {
		config := testConfig()
		config.disabled = disabled
		ledger := NewLedger[int](config, at(0))
		ledger.Expire(at(time.Minute))
		ledger.Suspend()
		ledger.Reset(Reading{Wall: base.Add(10 * time.Second), Monotonic: 70 * time.Second})
		return ledger.FencedUntil().Equal(base.Add(81 * time.Second))
	}
	if !fencedAfterJump(disabledMechanisms{}) || fencedAfterJump(disabledMechanisms{latestClock: true}) {
		t.Fatal("the fence must hold with the latest clock kept, and fall without")
	}
}

// A machine that starts with a clock far behind has set its fence too low;
// when the clock is put right, the fence must be raised.
func TestFenceIsRaisedWhenTheClockJumpsAhead(t *testing.T) {
	decide := func(disabled disabledMechanisms) Decision[int] {
		config := testConfig()
		config.disabled = disabled
		ledger := NewLedger[int](config, Reading{Wall: base.Add(-time.Hour)})
		return ledger.Begin(at(30*time.Second), newID(29*time.Second, 1))
	}
	checkDecision(t, decide(disabledMechanisms{}), Refuse, ReasonFenced, true)
	checkDecision(t, decide(disabledMechanisms{jumpFence: true}), Run, "", false)
}

// A node that decided, slept through a change of the voter set and is fresh
// again must not act: an owner in between may have run the id.
func TestDecisionDoesNotOutliveTheOwnership(t *testing.T) {
	for _, disabled := range []disabledMechanisms{{}, {ownershipCheck: true}} {
		config := testConfig()
		config.disabled = disabled
		ledger := NewLedger[int](config, at(0))
		decision := ledger.Begin(at(20*time.Second), newID(20*time.Second, 1))
		if !ledger.Holds(decision) {
			t.Fatal("the decision must hold at first")
		}
		ledger.Suspend()
		checkDecision(t, ledger.Begin(at(21*time.Second), newID(20*time.Second, 2)), Refuse, ReasonSuspended, true)
		ledger.Reset(at(22 * time.Second))
		if ledger.Holds(decision) != disabled.ownershipCheck {
			t.Fatalf("holds: %v, with the mechanism off: %v", ledger.Holds(decision), disabled.ownershipCheck)
		}
	}
}

func TestVoterChangeMovesOnlyItsIDs(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	voters, fewer := []string{"e", "b", "c", "d", "a"}, []string{"a", "b", "c", "d"}
	counts := map[string]int{}
	const ids = 10000
	for range ids {
		id := newID(time.Duration(random.Int64N(int64(time.Hour))), byte(random.Uint32()))
		owner, next := Owner(voters, id), Owner(fewer, id)
		if owner != "e" && owner != next {
			t.Fatalf("%s moved from %s to %s", id, owner, next)
		}
		counts[owner]++
	}
	for _, voter := range voters {
		if share := float64(counts[voter]) / ids; share < 0.17 || share > 0.23 {
			t.Errorf("%s owns a share of %.3f", voter, share)
		}
	}
	if owner := Owner(nil, newID(0, 0)); owner != "" {
		t.Fatalf("%q owns an id without voters", owner)
	}
}

func BenchmarkBegin(b *testing.B) {
	ledger := NewLedger[int](DefaultConfig(), at(0))
	now := at(time.Minute)
	var id ulid.ULID
	_ = id.SetTime(uint64(now.Wall.UnixMilli()))
	for count := uint32(0); b.Loop(); count++ {
		binary.BigEndian.PutUint32(id[12:], count)
		ledger.Begin(now, id)
	}
}
