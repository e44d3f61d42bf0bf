package retryafter

import (
	"testing"
	"time"
)

// TestWithoutLeafPrefersAdvisedTime also checks the times without advice.
func TestWithoutLeafPrefersAdvisedTime(t *testing.T) {
	for _, test := range []struct {
		advised   time.Duration
		storeAway bool
		want      time.Duration
	}{
		{0, false, StoreReadDelay}, {0, true, StoreOutageDelay},
		{time.Millisecond, false, time.Millisecond}, {3 * time.Second, true, 3 * time.Second},
	} {
		if got := AwaitLeaf(test.advised, test.storeAway); got != test.want {
			t.Errorf("advised %v, store unavailable %v: got %v, want %v", test.advised, test.storeAway, got, test.want)
		}
	}
}

func TestOnWireIsNeverZero(t *testing.T) {
	for _, test := range []struct{ advised, want time.Duration }{
		{0, MinDelay}, {MinDelay - 1, MinDelay}, {MinDelay + 1, MinDelay + 1}, {time.Hour, time.Hour},
	} {
		if got := ClampToMin(test.advised); got != test.want {
			t.Errorf("advised %v: sent %v, want %v", test.advised, got, test.want)
		}
	}
}
