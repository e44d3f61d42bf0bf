package scatter

import (
	"context"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// TestAbortLingersUnlessOverdue checks that abortAttempt cancels an overdue attempt immediately and
// lets any other attempt continue for Config.Linger.
func TestAbortLingersUnlessOverdue(t *testing.T) {
	for _, overdue := range []bool{false, true} {
		conn := newTestConn(newFaultyLeaves(1), allowAlways)
		conn.config.Linger = time.Hour
		ctx, cancel := context.WithCancel(context.Background())
		attempt := &runningAttempt{cancel: cancel}
		conn.attempts[1] = attempt
		conn.abortAttempt(dispatch.Abort{Attempt: 1, Overdue: overdue})
		if cancelled := ctx.Err() != nil; cancelled != overdue {
			t.Errorf("overdue %v: got cancelled %v, want %v", overdue, cancelled, overdue)
		}
		if attempt.lingerTimer != nil {
			attempt.lingerTimer.Stop()
		}
		cancel()
		conn.Close()
	}
}
