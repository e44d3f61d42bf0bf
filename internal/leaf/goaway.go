package leaf

import (
	"encoding/binary"
	"net"
	"sync/atomic"

	"golang.org/x/net/http2"
)

// frameHeaderLength is the length of an HTTP/2 frame header, in bytes.
const frameHeaderLength = 9

// watchedConn reads along the frames that the leaf sends, because net/http
// does not tell whether a GOAWAY came.
type watchedConn struct {
	net.Conn
	goingAway atomic.Bool
	// onGoAway is called once, by the reading goroutine, at the first GOAWAY.
	onGoAway func()

	header  [frameHeaderLength]byte
	filled  int // bytes of the current frame header seen so far
	payload int // bytes of the current frame's payload still to come
}

// Read implements net.Conn.
func (c *watchedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.watch(buffer[:n])
	return n, err
}

func (c *watchedConn) watch(data []byte) {
	for len(data) > 0 {
		if c.payload > 0 {
			skipped := min(c.payload, len(data))
			c.payload -= skipped
			data = data[skipped:]
			continue
		}
		copied := copy(c.header[c.filled:], data)
		c.filled += copied
		data = data[copied:]
		if c.filled == frameHeaderLength {
			c.filled = 0
			c.frame()
		}
	}
}

func (c *watchedConn) frame() {
	const lengthBits = 24
	c.payload = int(binary.BigEndian.Uint32(c.header[:4]) >> (32 - lengthBits))
	kind := http2.FrameType(c.header[3])
	if kind == http2.FrameGoAway && c.goingAway.CompareAndSwap(false, true) {
		c.onGoAway()
	}
}
