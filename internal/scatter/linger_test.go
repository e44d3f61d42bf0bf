package scatter

import (
	"context"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// TestOverdueAttemptsDoNotLinger gives up an attempt that may still end soon,
// and one that is overdue.
func TestOverdueAttemptsDoNotLinger(t *testing.T) {
	for _, overdue := range []bool{false, true} {
		conn := newTestConn(newFaultyLeaves(1), always)
		conn.config.Linger = time.Hour
		ctx, cancel := context.WithCancel(context.Background())
		started := &attempt{cancel: cancel}
		conn.attempts[1] = started
		conn.abort(dispatch.Abort{Attempt: 1, Overdue: overdue})
		if ended := ctx.Err() != nil; ended != overdue {
			t.Errorf("overdue %v: ended %v", overdue, ended)
		}
		if started.linger != nil {
			started.linger.Stop()
		}
		cancel()
		conn.Close()
	}
}
