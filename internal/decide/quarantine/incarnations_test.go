package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const (
	// heartbeat is the interval between announcements in these tests.
	heartbeat = 1200 * time.Millisecond
	// announcementExpiry is the time after a loss at which an announcement that still exists proves
	// that its leaf survived.
	announcementExpiry = expiryHeartbeats*heartbeat + maxAnnounceDelay
)

// TestIncarnationCrashesOnce guards against counting one crash several times: attempts that are
// sent after a loss, and before the incarnation answers again, do not count, whichever node
// observed the loss.
func TestIncarnationCrashesOnce(t *testing.T) {
	tracker := NewIncarnationTracker()
	for _, step := range []struct {
		name       string
		sent, lost time.Duration
		want       string
	}{
		{"first loss", 10, 20, "a"},
		{"in flight during the first loss", 15, 21, "a"},
		{"sent after the loss", 25, 30, ""},
		{"sent long after the loss", 1000, 1010, ""},
	} {
		got, crashed := tracker.RecordLoss("a", step.sent, step.lost)
		if got != step.want || crashed != (step.want != "") {
			t.Errorf("%s: crash %q, %v, want %q", step.name, got, crashed, step.want)
		}
	}
	tracker.RecordAnswer("a", 1005)
	if got, _ := tracker.RecordLoss("a", 1100, 1110); got != "a+1" {
		t.Errorf("loss after an answer: crash %q, want %q", got, "a+1")
	}
	tracker.RecordRemoteLoss(2000, "b")
	if got, crashed := tracker.RecordLoss("b", 2100, 2110); crashed {
		t.Errorf("loss after another node reported it: crash %q, want none", got)
	}
	tracker.RecordRemoteLoss(3000, "c+4")
	tracker.RecordAnswer("c", 3100)
	if got, _ := tracker.RecordLoss("c", 3200, 3210); got != "c+5" {
		t.Errorf("loss after an answer and four crashes reported by another node: crash %q, want %q", got, "c+5")
	}
}

// TestEachLossCountsWhileStoreIsUnavailable checks that each loss counts as a crash while the node
// cannot learn of restarts.
func TestEachLossCountsWhileStoreIsUnavailable(t *testing.T) {
	tracker := NewIncarnationTracker()
	tracker.SetStoreUnavailable(0, true)
	for index, want := range []string{"a", "a+1", "a+2"} {
		at := time.Duration(index+1) * time.Second
		if got, _ := tracker.RecordLoss("a", at, at+1); got != want {
			t.Errorf("loss at %v: crash %q, want %q", at, got, want)
		}
	}
}

// TestIncarnationSurvives checks that an incarnation survives some time after it answered, or once
// its announcement would have expired, and that neither can happen during an outage of the store.
func TestIncarnationSurvives(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		answered, away, back time.Duration
		survivedAt           time.Duration
	}{
		"answers": {answered: 12 * second, survivedAt: 15 * second},
		"answers an attempt sent before the loss": {answered: 9 * second, survivedAt: 10*second + announcementExpiry},
		"does not answer":                         {survivedAt: 10*second + announcementExpiry},
		"answers during an outage":                {answered: 12 * second, away: 11 * second, back: 20 * second, survivedAt: 23 * second},
		"does not answer during an outage":        {away: 11 * second, back: 20 * second, survivedAt: 20*second + announcementExpiry},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewIncarnationTracker()
			tracker.RecordLoss("a", 9*second, 10*second)
			if test.answered > 0 {
				tracker.RecordAnswer("a", test.answered)
			}
			survivedAt := time.Duration(0)
			for at := 10 * second; at < time.Minute && survivedAt == 0; at += 100 * time.Millisecond {
				if test.back > 0 {
					tracker.SetStoreUnavailable(at, at >= test.away && at < test.back)
				}
				if tracker.HasSurvived(at, "a", 10*second, heartbeat) {
					survivedAt = at
				}
			}
			if survivedAt != test.survivedAt {
				t.Errorf("survived at %v, want %v", survivedAt, test.survivedAt)
			}
		})
	}
}

// TestIncarnationsAreBounded checks the bound on tracked incarnations, and their expiry.
func TestIncarnationsAreBounded(t *testing.T) {
	tracker := NewIncarnationTracker()
	for number := range maxIncarnations + 10 {
		tracker.RecordLoss(fmt.Sprint("leaf-", number), 0, time.Duration(number))
	}
	if len(tracker.incarnations) != maxIncarnations || tracker.incarnations["leaf-0"] != nil {
		t.Errorf("%d incarnations, want %d without the oldest", len(tracker.incarnations), maxIncarnations)
	}
	tracker.Expire(2 * RecordTTL)
	if len(tracker.incarnations) > 0 {
		t.Errorf("%d incarnations after their expiry, want 0", len(tracker.incarnations))
	}
}
