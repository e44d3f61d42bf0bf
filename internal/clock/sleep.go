package clock

import (
	"context"
	"time"
)

// Sleep waits for a time, or until ctx ends, and reports whether ctx still runs.
// It returns at once if the time is not above zero.
func Sleep(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
