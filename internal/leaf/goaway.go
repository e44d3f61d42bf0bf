package leaf

import (
	"encoding/binary"
	"net"
	"sync/atomic"

	"golang.org/x/net/http2"
)

// frameHeaderSize is the size of an HTTP/2 frame header in bytes.
const frameHeaderSize = 9

// goAwayConn parses the frame headers that the leaf sends and records a GOAWAY frame, which
// net/http does not report.
type goAwayConn struct {
	net.Conn
	goingAway atomic.Bool
	// onGoAway is called once, by the reading goroutine, at the first GOAWAY frame.
	onGoAway func()

	header      [frameHeaderSize]byte
	headerRead  int // bytes of the current frame header that have been read
	payloadLeft int // bytes of the current frame's payload that have not been read
}

// Read implements net.Conn.
func (c *goAwayConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.scanFrames(buffer[:n])
	return n, err
}

func (c *goAwayConn) scanFrames(data []byte) {
	for len(data) > 0 {
		if c.payloadLeft > 0 {
			skipped := min(c.payloadLeft, len(data))
			c.payloadLeft -= skipped
			data = data[skipped:]
			continue
		}
		copied := copy(c.header[c.headerRead:], data)
		c.headerRead += copied
		data = data[copied:]
		if c.headerRead == frameHeaderSize {
			c.headerRead = 0
			c.handleFrameHeader()
		}
	}
}

func (c *goAwayConn) handleFrameHeader() {
	const lengthBits = 24
	c.payloadLeft = int(binary.BigEndian.Uint32(c.header[:4]) >> (32 - lengthBits))
	kind := http2.FrameType(c.header[3])
	if kind == http2.FrameGoAway && c.goingAway.CompareAndSwap(false, true) {
		c.onGoAway()
	}
}
