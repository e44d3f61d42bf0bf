package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestBacklogAfterOutageIsNotDelayed checks that BatchDelay applies to current changes only.
// The backlog of an outage comes in several responses, and the delay after each one would add up.
func TestBacklogAfterOutageIsNotDelayed(t *testing.T) {
	portion, few := make([]Event, 30), make([]Event, 2)
	for _, test := range []struct {
		name    string
		answers []any
		pauses  int
	}{
		{"after an outage", []any{[]Item{}, errStoreDown, portion, portion, portion, few, portion}, 2},
		{"many changes at once, no outage", []any{[]Item{}, portion, portion}, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			const gather = time.Minute
			ctx, stop := context.WithCancel(t.Context())
			source := &scriptedSource{answers: test.answers, stop: stop}
			var sink recordingSink
			started := time.Now()
			New(Config{MinBackoff: 1, MaxBackoff: 1, BatchDelay: gather}, source, &sink).Run(ctx)
			if got := int(time.Since(started) / gather); got != test.pauses {
				t.Errorf("%s: %d pauses, want %d", test.name, got, test.pauses)
			}
		})
	}
}
