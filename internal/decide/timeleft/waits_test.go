package timeleft

import (
	"testing"
	"time"
)

// TestWaitBeforeArrivalIsWhatIsMissingFromTheLongestTimeout feeds the timeouts of first
// tries and of retries.
func TestBeforeArrivalIsDifferenceFromLongestTimeout(t *testing.T) {
	estimator := NewWaits()
	for _, test := range []struct{ left, want time.Duration }{
		{800, 0}, {797, 3}, {650, 150}, {0, 0}, {800, 0},
	} {
		if got := estimator.BeforeArrival("check", test.left*time.Millisecond); got != test.want*time.Millisecond {
			t.Errorf("%d ms left: %v before its arrival", test.left, got)
		}
	}
	if got := estimator.BeforeArrival("sweep", 500*time.Millisecond); got != 0 {
		t.Errorf("another kind: %v before its arrival", got)
	}
}

// TestLongestTimeoutIsForgotten follows clients that begin to wait less.
func TestLongestTimeoutExpires(t *testing.T) {
	estimator := NewWaits()
	estimator.BeforeArrival("check", time.Second)
	for range 2 * (windowSize + 1) {
		estimator.BeforeArrival("check", 500*time.Millisecond)
	}
	if got := estimator.BeforeArrival("check", 500*time.Millisecond); got != 0 {
		t.Errorf("%v before its arrival", got)
	}
}
