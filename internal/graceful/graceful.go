// Package graceful shuts HTTP servers down without delay after their last request.
package graceful

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// pollInterval bounds how long the end of the last request stays unnoticed.
const pollInterval = 50 * time.Millisecond

// Shutdown shuts a server down like http.Server.Shutdown, which looks for active connections at
// intervals that grow to half a second and starts with a short one at each call.
func Shutdown(ctx context.Context, server *http.Server) error {
	for {
		pollCtx, cancel := context.WithTimeout(ctx, pollInterval)
		err := server.Shutdown(pollCtx)
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return err
		}
	}
}
