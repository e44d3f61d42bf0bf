package forward

import (
	"testing"
	"time"
)

// TestElapsedIsWhatIsMissingFromTheLongestPatience feeds the patience of first
// tries and of repeats.
func TestElapsedIsWhatIsMissingFromTheLongestPatience(t *testing.T) {
	p := newPatience()
	for _, test := range []struct{ left, want time.Duration }{
		{800, 0}, {797, 3}, {650, 150}, {0, 0}, {800, 0},
	} {
		if got := p.elapsed("check", test.left*time.Millisecond); got != test.want*time.Millisecond {
			t.Errorf("%d ms left: %v elapsed", test.left, got)
		}
	}
	if got := p.elapsed("sweep", 500*time.Millisecond); got != 0 {
		t.Errorf("another kind: %v elapsed", got)
	}
}

// TestLongestPatienceIsForgotten follows clients that begin to wait less.
func TestLongestPatienceIsForgotten(t *testing.T) {
	p := newPatience()
	p.elapsed("check", time.Second)
	for range 2 * (patienceMemory + 1) {
		p.elapsed("check", 500*time.Millisecond)
	}
	if got := p.elapsed("check", 500*time.Millisecond); got != 0 {
		t.Errorf("%v elapsed", got)
	}
}
