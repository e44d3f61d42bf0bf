package clock

import (
	"context"
	"testing"
	"time"
)

func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !Sleep(ctx, time.Microsecond) || !Sleep(ctx, 0) {
		t.Error("ended early")
	}
	cancel()
	if Sleep(ctx, time.Hour) || Sleep(ctx, 0) {
		t.Error("slept though the context has ended")
	}
}
