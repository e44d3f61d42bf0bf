package mirror

import (
	"context"
	"time"
)

// Serve answers the question of another node: it blocks until there are changes
// after the revision, or for the wait.
func (s *Shared) Serve(ctx context.Context, after uint64, wait time.Duration) (Watched, error) {
	response := s.awaitChanges(ctx, after, wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.packedResponse.pack(after, response)
}

// current returns the answer to a node that waited in vain for changes after a revision.
// If that node knows more than this one, which should have caught up meanwhile, it is
// refused, and asks elsewhere.
func (s *Shared) refuseIfBehind(response Watched, after uint64) Watched {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.history.revision < after {
		return Watched{State: WatchRefused}
	}
	return response
}

// await blocks until there are changes after a revision, or for the wait.
func (s *Shared) awaitChanges(ctx context.Context, after uint64, wait time.Duration) Watched {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		response, changed := s.history.eventsAfter(after)
		if !s.serving {
			response = Watched{State: WatchRefused}
		}
		s.mutex.Unlock()
		if response.State != WatchCurrent || len(response.Events) > 0 {
			return response
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.refuseIfBehind(response, after)
		case <-ctx.Done():
			return response
		}
	}
}
