package peer

import (
	"context"
	"net/netip"
	"time"
)

// methodPing is the method that every Server answers at once.
const methodPing = "peer.ping"

// pingMessage is the request and the response of methodPing.
type pingMessage struct {
	// Number is returned unchanged.
	Number uint64
}

// recentlyHeard is how long a peer counts as responsive after a frame from it.
const recentlyHeard = 50 * time.Millisecond

// confirmResponsive returns an error unless the peer has sent a frame recently, or responds to a ping
// within half of the time until sendCtx ends. A peer that cannot be reached or whose process is
// paused must not get a request that the caller cannot repeat: until the peer responds again, nobody
// would know whether the request ran.
func (c *clientConn) confirmResponsive(sendCtx context.Context) *Error {
	if c.heardWithin(recentlyHeard) {
		return nil
	}
	deadline, _ := sendCtx.Deadline()
	ctx, cancel := context.WithTimeout(sendCtx, time.Until(deadline)/2)
	defer cancel()
	failure := c.call(ctx, ctx, callRequest{method: methodPing, body: &pingMessage{}}, &pingMessage{})
	if failure == nil || failure.Step == StepRefused {
		return nil // a peer of a version without the method refuses it, which is a response as well
	}
	return &Error{Step: StepPing, Err: failure.Err}
}

// heardWithin reports whether a frame of the peer, or its greeting, arrived within the given time.
func (c *clientConn) heardWithin(age time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.lastHeard) <= age
}

// markHeard records that the peer has sent something.
func (c *clientConn) markHeard() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastHeard = time.Now()
}

// handlePing returns the request.
func handlePing(_ context.Context, _ netip.AddrPort, request *pingMessage) (*pingMessage, error) {
	return request, nil
}
