package peer

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"
)

// Greeting is the first line that each side of a connection writes. A peer that writes anything
// else uses another protocol or version.
const Greeting = "micaplank-peer 1\n"

const (
	// MaxMessageSize is the maximum size of a request or response in bytes of gob. It limits the
	// memory that a peer can make this process allocate for one frame.
	MaxMessageSize = 8 << 20

	// maxGreetingSize is the maximum number of bytes that are read as a greeting.
	maxGreetingSize = 64
	// frameLengthSize is the size in bytes of the length prefix of a frame.
	frameLengthSize = 4
	// handshakeTimeout is the timeout of the handshake of an accepted connection. It is longer than
	// the default of ClientOptions.DialTimeout, so a client gives up first.
	handshakeTimeout = 3 * time.Second
	// flushTimeout is the timeout for writing the queued frames of a connection. A peer that reads
	// nothing for this time is considered down.
	flushTimeout = 10 * time.Second
	// outgoingQueueSize is the number of frames that can wait to be written to a connection.
	// Callers block while the queue is full. It limits the memory of a connection.
	outgoingQueueSize = 256
)

// frameKind is the type of a frame.
type frameKind byte

const (
	// frameTypes carries a zero value, so that gob sends the description of its type separately
	// from the first message of that type. Otherwise the description would be lost with a first
	// message that is dropped because it is too large.
	frameTypes frameKind = iota + 1
	frameRequest
	frameResponse
	frameCancel
	frameGoAway
)

// refusal is the reason why a server did not run the handler of a request.
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
	// Remaining is the time until the deadline of the caller; zero means no deadline.
	Remaining time.Duration
	Refusal   refusal
	// Failure is the text of the error that the handler returned.
	Failure string
	HasBody bool
}

// frameReader removes the length prefixes from a stream and rejects frames that are too large. It
// implements io.ByteReader because gob otherwise adds a buffer and reads ahead.
type frameReader struct {
	source     io.Reader
	remaining  int
	countFrame func(bytes int)
	oneByte    [1]byte
}

// Read implements io.Reader.
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

// ReadByte implements io.ByteReader.
func (r *frameReader) ReadByte() (byte, error) {
	_, err := io.ReadFull(r, r.oneByte[:])
	return r.oneByte[0], err
}

// readLength reads the length prefix of the next frame.
func (r *frameReader) readLength() error {
	var prefix [frameLengthSize]byte
	if _, err := io.ReadFull(r.source, prefix[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length == 0 || length > MaxMessageSize {
		return fmt.Errorf("%w: frame of %d bytes, limit %d", ErrTooLarge, length, MaxMessageSize)
	}
	r.remaining = int(length)
	r.countFrame(int(length) + frameLengthSize)
	return nil
}

// writeGreeting writes the greeting.
func writeGreeting(netConn net.Conn) error {
	_, err := io.WriteString(netConn, Greeting)
	return err
}

// readGreeting reads and checks the greeting of the other side. It reads byte by byte, so that it
// does not consume the frames that follow.
func readGreeting(netConn net.Conn) error {
	line := make([]byte, 0, maxGreetingSize)
	var oneByte [1]byte
	for len(line) < maxGreetingSize {
		if _, err := io.ReadFull(netConn, oneByte[:]); err != nil {
			return fmt.Errorf("%w: greeting %q ended early: %w", ErrHandshake, line, err)
		}
		line = append(line, oneByte[0])
		if oneByte[0] == '\n' {
			break
		}
	}
	if string(line) != Greeting {
		return fmt.Errorf("%w: got greeting %q, want %q", ErrHandshake, line, Greeting)
	}
	return nil
}
