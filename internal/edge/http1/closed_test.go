package http1

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/leaf"
)

// TestCloseBeforeResponseIsReported checks that a close by the peer before any byte of the response
// is distinguished from one within the response and from a local timeout. Only the first is what a
// process that crashes on the request leaves behind.
func TestCloseBeforeResponseIsReported(t *testing.T) {
	for _, test := range []struct {
		name, reply string
		closed      bool
	}{
		{"no byte", "", true},
		{"within the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		{"not HTTP", "\x00\x01\r\n\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := newClient(t, 1)
			b := newBackend(t, func(_, number int) string {
				if number > 1 {
					return ""
				}
				return test.reply
			})
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := client.Do(ctx, b.target(), request(), isMatch)
			var transport *leaf.TransportError
			if !errors.As(err, &transport) || !transport.Sent || transport.Closed != test.closed {
				t.Errorf("error %v, %+v, want Sent true and Closed %v", err, transport, test.closed)
			}
			client.Close()
		})
	}
}
