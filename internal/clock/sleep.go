package clock

import (
	"context"
	"time"
)

// Sleep waits until the pause is over or ctx ends. It reports true if the pause is over, and
// false if ctx ended first. With a pause of zero or less it returns immediately, and reports
// whether ctx is still running.
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
