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

// current returns the answer to a node that waited in vain for changes after a revision.
// If that node knows more than this one, which should have caught up meanwhile, it is
// refused, and asks elsewhere.
func (s *Shared) current(answer Watched, after uint64) Watched {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.history.revision < after {
		return Watched{State: WatchRefused}
	}
	return answer
}

// await blocks until there are changes after a revision, or for the wait.
func (s *Shared) await(ctx context.Context, after uint64, wait time.Duration) Watched {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		answer, changed := s.history.after(after)
		if !s.serves {
			answer = Watched{State: WatchRefused}
		}
		s.mutex.Unlock()
		if answer.State != WatchCurrent || len(answer.Events) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.current(answer, after)
		case <-ctx.Done():
			return answer
		}
	}
}
