package clock

import (
	"context"
	"testing"
	"time"
)

func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !Sleep(ctx, time.Microsecond) || !Sleep(ctx, 0) {
		t.Error("Sleep with a running context: got false, want true")
	}
	cancel()
	if Sleep(ctx, time.Hour) || Sleep(ctx, 0) {
		t.Error("Sleep with an ended context: got true, want false")
	}
}
