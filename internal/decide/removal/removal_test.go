package removal

import (
	"testing"
	"time"
)

// TestGracePeriodAppliesAfterStoreOutage also checks that a draining leaf gets no grace period.
func TestGracePeriodAppliesAfterStoreOutage(t *testing.T) {
	rule := NewRule(Config{GracePeriod: 2 * time.Second, SettlingTime: 3 * time.Second})
	if _, doubted := rule.UsedUntil(time.Second, false); doubted {
		t.Error("got a grace period without an outage, want none")
	}
	rule.RecordOutage(10 * time.Second)
	for _, test := range []struct {
		at       time.Duration
		draining bool
		until    time.Duration
		doubted  bool
	}{
		{10 * time.Second, false, 12 * time.Second, true},
		{13*time.Second - 1, false, 15*time.Second - 1, true},
		{13 * time.Second, false, 0, false},
		{11 * time.Second, true, 0, false},
	} {
		if until, doubted := rule.UsedUntil(test.at, test.draining); until != test.until || doubted != test.doubted {
			t.Errorf("%+v: got until %v, doubted %v", test, until, doubted)
		}
	}
}
