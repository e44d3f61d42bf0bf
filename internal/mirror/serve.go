package mirror

import (
	"context"
	"time"
)

// Serve answers the question of another node: it blocks until there are changes
// after the revision, or for the wait.
func (s *Shared) Serve(ctx context.Context, after uint64, wait time.Duration) (Watched, error) {
	answer := s.await(ctx, after, wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.answered.of(after, answer)
}

// await blocks until there are changes after a revision, or for the wait.
func (s *Shared) await(ctx context.Context, after uint64, wait time.Duration) Watched {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		answer, changed := s.history.after(after)
		if !s.short {
			answer = Watched{State: WatchRefused}
		}
		s.mutex.Unlock()
		if answer.State != WatchCurrent || len(answer.Events) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-ctx.Done():
			return answer
		}
	}
}
