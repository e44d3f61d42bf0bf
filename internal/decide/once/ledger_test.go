package once

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
)

// at returns the reading of a correct clock.
func at(since time.Duration) ClockReading {
	return ClockReading{Wall: base.Add(since), Monotonic: since}
}

func newID(since time.Duration, number byte) ulid.ULID {
	var id ulid.ULID
	_ = id.SetTime(uint64(base.Add(since).UnixMilli()))
	id[15] = number
	return id
}

func checkDecision(t *testing.T, decision Decision[int], kind Kind, reason Reason, mayHaveRun bool) {
	t.Helper()
	if decision.Kind != kind || decision.Reason != reason || decision.MayHaveRun != mayHaveRun {
		t.Fatalf("got %+v, want %s %s (may have run: %v)", decision, kind, reason, mayHaveRun)
	}
}

func TestIDLifecycle(t *testing.T) {
	ledger := NewLedger[int](testConfig(), at(0))
	fenced := ledger.Begin(at(time.Second), newID(time.Second, 1))
	checkDecision(t, fenced, Refuse, ReasonFenced, true)
	if fenced.RetryAfter != 10*time.Second+time.Millisecond {
		t.Fatalf("got retry after %s one second into a fence of 11 s, want 10.001s", fenced.RetryAfter)
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
		t.Fatalf("got %+v, want a replay of outcome 7", replay)
	}
	ledger.Expire(at(60 * time.Second))
	checkDecision(t, ledger.Begin(at(60*time.Second), id), Refuse, ReasonTooOld, true)
	checkDecision(t, ledger.Begin(at(60*time.Second), newID(25*time.Second, 3)), Refuse, ReasonTooOld, false)
	if ledger.Length() != 0 {
		t.Fatalf("got %d remembered ids, want none", ledger.Length())
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

// TestFenceUsesLatestWallClock: a clock that is back by a minute when a new ownership period starts
// would set the fence a minute too low.
func TestFenceUsesLatestWallClock(t *testing.T) {
	fencedAfterJump := func(disabled disabledMechanisms) bool {
		config := testConfig()
		config.disabled = disabled
		ledger := NewLedger[int](config, at(0))
		ledger.Expire(at(time.Minute))
		ledger.Suspend()
		ledger.Reset(ClockReading{Wall: base.Add(10 * time.Second), Monotonic: 70 * time.Second})
		return ledger.FencedUntil().Equal(base.Add(81 * time.Second))
	}
	if !fencedAfterJump(disabledMechanisms{}) || fencedAfterJump(disabledMechanisms{latestClock: true}) {
		t.Fatal("want the fence at 81 s if the latest wall clock is retained, and lower otherwise")
	}
}

// TestFenceIsRaisedWhenTheClockJumpsAhead: a machine that starts with a clock far behind sets its
// fence too low, so the fence has to be raised once the clock is corrected.
func TestFenceIsRaisedWhenTheClockJumpsAhead(t *testing.T) {
	decide := func(disabled disabledMechanisms) Decision[int] {
		config := testConfig()
		config.disabled = disabled
		ledger := NewLedger[int](config, ClockReading{Wall: base.Add(-time.Hour)})
		return ledger.Begin(at(30*time.Second), newID(29*time.Second, 1))
	}
	checkDecision(t, decide(disabledMechanisms{}), Refuse, ReasonFenced, true)
	checkDecision(t, decide(disabledMechanisms{jumpFence: true}), Run, "", false)
}

// TestDecisionDoesNotOutliveTheOwnership: a node that made a decision, was suspended during a
// change of the voter set and is fresh again must not act, since an owner in between may have run
// the id.
func TestDecisionDoesNotOutliveTheOwnership(t *testing.T) {
	for _, disabled := range []disabledMechanisms{{}, {ownershipCheck: true}} {
		config := testConfig()
		config.disabled = disabled
		ledger := NewLedger[int](config, at(0))
		decision := ledger.Begin(at(20*time.Second), newID(20*time.Second, 1))
		if !ledger.OwnershipHolds(decision) {
			t.Fatal("a decision does not hold in its own ownership period")
		}
		ledger.Suspend()
		checkDecision(t, ledger.Begin(at(21*time.Second), newID(20*time.Second, 2)), Refuse, ReasonSuspended, true)
		ledger.Reset(at(22 * time.Second))
		if ledger.OwnershipHolds(decision) != disabled.ownershipCheck {
			t.Fatalf("after Reset: decision holds = %v, want %v", ledger.OwnershipHolds(decision), disabled.ownershipCheck)
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
			t.Fatalf("%s moved from %s to %s, but only ids of e may move", id, owner, next)
		}
		counts[owner]++
	}
	for _, voter := range voters {
		if share := float64(counts[voter]) / ids; share < 0.17 || share > 0.23 {
			t.Errorf("%s owns a share of %.3f, want 0.17 to 0.23", voter, share)
		}
	}
	if owner := Owner(nil, newID(0, 0)); owner != "" {
		t.Fatalf("got owner %q without voters, want none", owner)
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
