package mirror

import (
	"context"
	"time"
)

// Serve handles a watch request of another node. It blocks until there are changes after the
// revision, or until wait has passed.
func (s *Shared) Serve(ctx context.Context, after uint64, wait time.Duration) (WatchResponse, error) {
	response := s.awaitChanges(ctx, after, wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.packedResponse.pack(after, response)
}

// refuseIfBehind returns the response to a node that waited for changes after a revision and got
// none. If this node is behind that revision although it had the time to catch up, it refuses, so
// that the other node asks elsewhere.
func (s *Shared) refuseIfBehind(response WatchResponse, after uint64) WatchResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.history.revision < after {
		return WatchResponse{State: WatchRefused}
	}
	return response
}

// awaitChanges blocks until there are changes after a revision, or until wait has passed.
func (s *Shared) awaitChanges(ctx context.Context, after uint64, wait time.Duration) WatchResponse {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		response, changed := s.history.eventsAfter(after)
		if !s.serving {
			response = WatchResponse{State: WatchRefused}
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
