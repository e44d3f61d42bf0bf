package shutdown

import (
	"testing"
	"time"
)

// TestScheduleFitsIntoAllowedTime checks that a drain delay longer than the allowed time does not
// keep a node from answering and ending in time.
func TestScheduleFitsIntoAllowedTime(t *testing.T) {
	for _, test := range []struct {
		allowed, drainDelay time.Duration
		closeAfter          time.Duration
	}{
		{6 * time.Second, 3500 * time.Millisecond, 3500 * time.Millisecond},
		{6 * time.Second, 0, 0},
		{3 * time.Second, 3500 * time.Millisecond, 2600 * time.Millisecond},
		{600 * time.Millisecond, 3500 * time.Millisecond, 500 * time.Millisecond},
		{time.Nanosecond, time.Second, time.Nanosecond},
	} {
		got := Plan(test.allowed, test.drainDelay)
		if got.CloseAfter != test.closeAfter {
			t.Errorf("allowed %v, drain delay %v: closes after %v, want %v", test.allowed, test.drainDelay, got.CloseAfter, test.closeAfter)
		}
		if got.CloseAfter > got.AnswerBy || got.AnswerBy > got.ExitBy || got.ExitBy > test.allowed {
			t.Errorf("allowed %v, drain delay %v: got %+v, want increasing times within the allowed time", test.allowed, test.drainDelay, got)
		}
	}
}
