package leaf

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"

	"golang.org/x/net/http2"
)

// captureReply returns the frames of a reply.
func captureReply(stream uint32, body []byte) []byte {
	var frames bytes.Buffer
	recorded := &rawConn{framer: http2.NewFramer(&frames, nil)}
	recorded.reply(stream, successReply(body))
	return frames.Bytes()
}

// TestReplyCutAtAnyByteIsAnError guards against a reply that counts as whole although the leaf ended
// in the middle of its headers or of its body: a leaf closes the connection after each number of
// bytes, with or without a reset.
func TestReplyCutAtAnyByteIsAnError(t *testing.T) {
	for _, reset := range []bool{false, true} {
		var cut, whole atomic.Int64
		whole.Store(1)
		server := startRawServer(t, func(conn *rawConn, stream uint32, body []byte) bool {
			frames := captureReply(stream, body)
			whole.Store(int64(len(frames)))
			conn.Write(frames[:cut.Load()])
			if reset {
				conn.Conn.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		for size := int64(0); size < whole.Load(); size++ {
			cut.Store(size)
			client := newTestClient(t, Config{})
			if reply, err := client.Execute(testContext(t), server.address(), testRequest(false)); err == nil {
				t.Errorf("reset %v, cut after %d of %d bytes: got reply %+v, want an error", reset, size, whole.Load(), reply)
			}
			client.Close()
		}
	}
}
