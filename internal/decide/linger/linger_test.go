package linger

import (
	"testing"
	"time"
)

func TestLingerTime(t *testing.T) {
	for _, test := range []struct {
		allowed time.Duration
		overdue bool
		want    time.Duration
	}{
		{100 * time.Millisecond, false, 100 * time.Millisecond},
		{100 * time.Millisecond, true, 0},
		{0, false, 0},
		{0, true, 0},
	} {
		if got := Duration(test.allowed, test.overdue); got != test.want {
			t.Errorf("configured %v, overdue %v: got %v, want %v", test.allowed, test.overdue, got, test.want)
		}
	}
}
