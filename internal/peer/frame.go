package peer

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"
)

// Greeting is the first line that each side of a call connection writes. A
// peer that writes anything else speaks another protocol or version.
const Greeting = "micaplank-peer 1\n"

const (
	// MaximumMessage bounds one request or response, in bytes of gob.
	// Not measured: chosen because it bounds what a peer can make this process
	// hold for one frame.
	MaxMessageSize = 8 << 20

	// maximumGreeting is the longest first line that is read, in bytes.
	maxGreetingSize = 64
	// frameLengthSize is the size in bytes of the length before each frame.
	frameLengthSize = 4
	// handshakeTimeout bounds the greeting of a connection that is accepted.
	// Not measured: chosen because a client gives up its dial sooner, after
	// ClientOptions.DialTimeout.
	handshakeTimeout = 3 * time.Second
	// flushTimeout bounds the writing of all frames that wait for a connection.
	// Not measured: chosen because a peer that reads nothing for so long does not
	// count as up.
	flushTimeout = 10 * time.Second
	// outgoingQueueSize is how many frames of a connection wait to be written;
	// callers block beyond it.
	// Not measured: chosen because it bounds the memory of a connection.
	outgoingQueueSize = 256
)

type frameKind byte

const (
	// frameTypes carries a zero value, so that gob sends the type's
	// description by itself: a message that turns out too large can then be
	// dropped without leaving the stream half described.
	frameTypes frameKind = iota + 1
	frameRequest
	frameResponse
	frameCancel
	frameGoAway
)

// refusal says why a peer did not run the handler of a request.
type refusal byte

const (
	refusedNone refusal = iota
	refusedUnknownMethod
	refusedDraining
	refusedBusy
	refusedMalformed
	refusedLate
)

func (r refusal) String() string {
	switch r {
	case refusedNone:
		return "none"
	case refusedUnknownMethod:
		return "unknown method"
	case refusedDraining:
		return "draining"
	case refusedBusy:
		return "too many calls"
	case refusedMalformed:
		return "malformed request"
	case refusedLate:
		return "no time left"
	}
	return fmt.Sprintf("refusal %d", byte(r))
}

// frameHeader precedes the body of each frame.
type frameHeader struct {
	Kind   frameKind
	Call   uint64
	Method string
	// Remaining is the time left to the caller; zero means no deadline.
	Remaining time.Duration
	Refusal   refusal
	// Failure is the text of the handler's error.
	Failure string
	HasBody bool
}

// frameReader strips the length prefixes off a stream and refuses frames that
// are too long. It is an io.ByteReader, so that gob reads no further than it
// has to.
type frameReader struct {
	source     io.Reader
	remaining  int
	countFrame func(bytes int)
	oneByte    [1]byte
}

func (r *frameReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		if err := r.readLength(); err != nil {
			return 0, err
		}
	}
	if len(p) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.source.Read(p)
	r.remaining -= n
	return n, err
}

func (r *frameReader) ReadByte() (byte, error) {
	_, err := io.ReadFull(r, r.oneByte[:])
	return r.oneByte[0], err
}

func (r *frameReader) readLength() error {
	var prefix [frameLengthSize]byte
	if _, err := io.ReadFull(r.source, prefix[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length == 0 || length > MaxMessageSize {
		return fmt.Errorf("%w: frame of %d bytes, at most %d", ErrTooLarge, length, MaxMessageSize)
	}
	r.remaining = int(length)
	r.countFrame(int(length) + frameLengthSize)
	return nil
}

// greet writes this side's greeting.
func writeGreeting(netConn net.Conn) error {
	_, err := io.WriteString(netConn, Greeting)
	return err
}

// expectGreeting reads the other side's greeting, byte by byte so that nothing
// behind it is consumed.
func readGreeting(netConn net.Conn) error {
	line := make([]byte, 0, maxGreetingSize)
	var single [1]byte
	for len(line) < maxGreetingSize {
		if _, err := io.ReadFull(netConn, single[:]); err != nil {
			return fmt.Errorf("%w: greeting %q ended early: %w", ErrHandshake, line, err)
		}
		line = append(line, single[0])
		if single[0] == '\n' {
			break
		}
	}
	if string(line) != Greeting {
		return fmt.Errorf("%w: got greeting %q, expected %q", ErrHandshake, line, Greeting)
	}
	return nil
}
