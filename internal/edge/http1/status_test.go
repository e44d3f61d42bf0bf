package http1

import (
	"fmt"
	"testing"
)

// TestStatusOutsideOfTheProtocolIsNoResponse guards against an answer whose status means nothing to a
// caller, and against a wait for a response that never comes.
func TestStatusOutsideOfTheProtocolIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		reply := fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: 0\r\n\r\n", status)
		b := newBackend(t, func(int, int) string { return reply })
		if response, err := doGet(t, newClient(t, 1), b.target()); err == nil {
			t.Errorf("status %s: got response %d, want an error", status, response.Status)
		}
	}
}
