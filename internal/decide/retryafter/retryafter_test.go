package retryafter

import (
	"testing"
	"time"
)

// TestWithoutLeafKeepsWhatIsAdvised, and falls back on what the store would tell.
func TestWithoutLeafPrefersAdvisedTime(t *testing.T) {
	for _, test := range []struct {
		advised   time.Duration
		storeAway bool
		want      time.Duration
	}{
		{0, false, Unknown}, {0, true, Outage},
		{time.Millisecond, false, time.Millisecond}, {3 * time.Second, true, 3 * time.Second},
	} {
		if got := WithoutLeaf(test.advised, test.storeAway); got != test.want {
			t.Errorf("advised %v, store away %v: %v, want %v", test.advised, test.storeAway, got, test.want)
		}
	}
}

func TestOnWireIsNeverZero(t *testing.T) {
	for _, test := range []struct{ advised, want time.Duration }{
		{0, MinDelay}, {MinDelay - 1, MinDelay}, {MinDelay + 1, MinDelay + 1}, {time.Hour, time.Hour},
	} {
		if got := OnWire(test.advised); got != test.want {
			t.Errorf("%v: %v on the wire, want %v", test.advised, got, test.want)
		}
	}
}
