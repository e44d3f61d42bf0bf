package mirror

import (
	"context"
	"time"

	"github.com/micaplank/micaplank/internal/position"
)

// Serve handles a watch request of another node. It blocks until there are changes after the
// position, or until wait has passed.
func (s *Shared) Serve(ctx context.Context, after position.Position, wait time.Duration) (WatchResponse, error) {
	response := s.awaitChanges(ctx, after, wait)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.packedResponse.pack(after, response)
}

// refuseIfBehind returns the response to a node that waited for changes after a position and got
// none. If this node is behind that position although it had the time to catch up, it refuses, so
// that the other node asks elsewhere.
func (s *Shared) refuseIfBehind(response WatchResponse, after position.Position) WatchResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.history.reached.Before(after) {
		return s.history.refusal()
	}
	return response
}

// awaitChanges blocks until there are changes after a position, or until wait has passed.
func (s *Shared) awaitChanges(ctx context.Context, after position.Position, wait time.Duration) WatchResponse {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		after = s.history.assumeEra(after)
		response, changed := s.history.eventsAfter(after)
		if !s.serving {
			response = s.history.refusal()
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
