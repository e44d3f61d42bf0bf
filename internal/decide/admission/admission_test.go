package admission

import (
	"testing"
	"time"
)

func TestAdmit(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name       string
		prediction Prediction
		want       bool
	}{
		{"no wait", Prediction{Service: second, Remaining: second / 2}, true},
		{"short wait", Prediction{Wait: second / 2, Service: second / 100, Remaining: second}, true},
		{"long wait", Prediction{Wait: second, Service: second / 100, Remaining: second}, false},
		{"saturated, urgent", Prediction{Wait: second / 2, Remaining: second, Saturated: true, Urgent: true}, true},
		{"saturated, no non-urgent work", Prediction{Wait: second / 2, Remaining: second, Saturated: true}, false},
		{"saturated, mostly non-urgent work", Prediction{Wait: second / 2, Remaining: second, Saturated: true, NonUrgentShare: 0.8}, true},
	} {
		if got := DefaultConfig().Admit(test.prediction); got != test.want {
			t.Errorf("%s: admitted = %v, want %v", test.name, got, test.want)
		}
	}
}

func TestRetryAfterIsNeverZero(t *testing.T) {
	config := DefaultConfig()
	if config.RetryAfter(0) < config.RetryMinimum || config.RetryAfter(time.Hour) > config.RetryMaximum {
		t.Errorf("got %v for no wait and %v for an hour, want at least %v and at most %v",
			config.RetryAfter(0), config.RetryAfter(time.Hour), config.RetryMinimum, config.RetryMaximum)
	}
}
