package timeleft

import (
	"testing"
	"time"
)

// TestBeforeArrivalIsDifferenceFromLongestTimeout records the timeouts of first attempts and of
// retries.
func TestBeforeArrivalIsDifferenceFromLongestTimeout(t *testing.T) {
	estimator := NewWaitEstimator()
	for _, test := range []struct{ left, want time.Duration }{
		{800, 0}, {797, 3}, {650, 150}, {0, 0}, {800, 0},
	} {
		if got := estimator.BeforeArrival("check", test.left*time.Millisecond); got != test.want*time.Millisecond {
			t.Errorf("%d ms left: got %v before arrival, want %v", test.left, got, test.want*time.Millisecond)
		}
	}
	if got := estimator.BeforeArrival("sweep", 500*time.Millisecond); got != 0 {
		t.Errorf("another kind: got %v before arrival, want 0s", got)
	}
}

// TestLongestTimeoutExpires covers clients that begin to send a shorter timeout.
func TestLongestTimeoutExpires(t *testing.T) {
	estimator := NewWaitEstimator()
	estimator.BeforeArrival("check", time.Second)
	for range 2 * (windowSize + 1) {
		estimator.BeforeArrival("check", 500*time.Millisecond)
	}
	if got := estimator.BeforeArrival("check", 500*time.Millisecond); got != 0 {
		t.Errorf("got %v before arrival, want 0s", got)
	}
}
