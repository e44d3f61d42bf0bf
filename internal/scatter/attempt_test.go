package scatter

import (
	"context"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// TestOverdueAttemptsDoNotLinger gives up an attempt that may still end soon,
// and one that is overdue.
func TestAbortLingersUnlessOverdue(t *testing.T) {
	for _, overdue := range []bool{false, true} {
		conn := newTestConn(newFaultyLeaves(1), allowAlways)
		conn.config.Linger = time.Hour
		ctx, cancel := context.WithCancel(context.Background())
		attempt := &runningAttempt{cancel: cancel}
		conn.attempts[1] = attempt
		conn.abortAttempt(dispatch.Abort{Attempt: 1, Overdue: overdue})
		if ended := ctx.Err() != nil; ended != overdue {
			t.Errorf("overdue %v: ended %v", overdue, ended)
		}
		if attempt.lingerTimer != nil {
			attempt.lingerTimer.Stop()
		}
		cancel()
		conn.Close()
	}
}
