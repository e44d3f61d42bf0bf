package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"time"
)

// The states of an outgoing frame. Only a queued frame can be withdrawn.
const (
	frameQueued int32 = iota
	frameWriting
	frameWithdrawn
)

// outgoing is one frame on its way to a link's writer.
type outgoingFrame struct {
	header frameHeader
	body   any
	state  atomic.Int32
	// failed is called by the writer if the frame was dropped before any byte
	// of it was written; it may return a frame to be written instead.
	onEncodeError func(error) *outgoingFrame
	// last makes the writer flush and close the link instead of writing.
	closeAfterFlush bool
}

// withdraw takes the frame back; it reports whether the writer has not begun
// with it, so that no byte of it can leave any more.
func (o *outgoingFrame) withdraw() bool {
	return o.state.CompareAndSwap(frameQueued, frameWithdrawn)
}

// link is one established connection. Its writer goroutine owns the gob
// encoder; the owner of the link reads with decoder.
type framedConn struct {
	netConn    net.Conn
	decoder    *gob.Decoder
	queue      chan *outgoingFrame
	closed     chan struct{}
	closeOnce  sync.Once
	writerDone sync.WaitGroup
	countSent  func(bytes int)

	encoded        bytes.Buffer
	encoder        *gob.Encoder
	buffered       *bufio.Writer
	describedTypes map[reflect.Type]bool
}

// bufferSize is that of each of a connection's two buffers, in bytes.
// Not measured: chosen because many frames share a system call then.
const bufferSize = 32 << 10

func newFramedConn(netConn net.Conn, countSent, countReceived func(bytes int)) *framedConn {
	conn := &framedConn{
		netConn:        netConn,
		queue:          make(chan *outgoingFrame, outgoingQueueSize),
		closed:         make(chan struct{}),
		countSent:      countSent,
		buffered:       bufio.NewWriterSize(netConn, bufferSize),
		describedTypes: map[reflect.Type]bool{},
	}
	source := bufio.NewReaderSize(netConn, bufferSize)
	conn.decoder = gob.NewDecoder(&frameReader{source: source, countFrame: countReceived})
	conn.encoder = gob.NewEncoder(&conn.encoded)
	conn.writerDone.Add(1)
	go conn.writeFrames()
	return conn
}

// close ends the connection at once; frames still queued are dropped.
func (c *framedConn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.netConn.Close()
	})
}

// write sends queued frames and flushes when the queue is empty, so that
// frames queued together share a system call.
func (c *framedConn) writeFrames() {
	defer c.writerDone.Done()
	defer c.close()
	// The header's type is described in a frame of its own as well.
	if c.encode(frameHeader{Kind: frameTypes}, nil) != nil || c.writeEncoded() != nil {
		return
	}
	for {
		select {
		case <-c.closed:
			return
		case frame := <-c.queue:
			if c.writeBatch(frame) != nil {
				return
			}
		}
	}
}

func (c *framedConn) writeBatch(frame *outgoingFrame) error {
	// Without a deadline, a peer that stops reading would hold the writer.
	if err := c.netConn.SetWriteDeadline(time.Now().Add(flushTimeout)); err != nil {
		return err
	}
	for {
		if frame.closeAfterFlush {
			_ = c.buffered.Flush()
			return ErrClosed
		}
		if err := c.writeFrame(frame); err != nil {
			return err
		}
		select {
		case frame = <-c.queue:
		default:
			return c.buffered.Flush()
		}
	}
}

func (c *framedConn) writeFrame(frame *outgoingFrame) error {
	if !frame.state.CompareAndSwap(frameQueued, frameWriting) {
		return nil
	}
	if err := c.writeTypeDescription(frame.body); err != nil {
		return c.dropFrame(frame, err)
	}
	if err := c.encode(frame.header, frame.body); err != nil {
		return c.dropFrame(frame, err)
	}
	if size := c.encoded.Len() - frameLengthSize; size > MaxMessageSize {
		return c.dropFrame(frame, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, MaxMessageSize))
	}
	return c.writeEncoded()
}

// describe sends the description of the body's type before its first value.
func (c *framedConn) writeTypeDescription(body any) error {
	if body == nil {
		return nil
	}
	kind := reflect.TypeOf(body)
	if c.describedTypes[kind] {
		return nil
	}
	element := kind
	for element.Kind() == reflect.Pointer {
		element = element.Elem()
	}
	zero := reflect.New(element).Interface()
	if err := c.encode(frameHeader{Kind: frameTypes, HasBody: true}, zero); err != nil {
		return err
	}
	c.describedTypes[kind] = true
	return c.writeEncoded()
}

func (c *framedConn) encode(header frameHeader, body any) error {
	c.encoded.Reset()
	c.encoded.Write(make([]byte, frameLengthSize))
	header.HasBody = body != nil
	if err := c.encoder.Encode(header); err != nil {
		return err
	}
	if body == nil {
		return nil
	}
	return c.encoder.Encode(body)
}

func (c *framedConn) writeEncoded() error {
	frame := c.encoded.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameLengthSize))
	c.countSent(len(frame))
	_, err := c.buffered.Write(frame)
	return err
}

// drop reports a frame that cannot be encoded; the link stays usable, because
// its type was described before.
func (c *framedConn) dropFrame(frame *outgoingFrame, err error) error {
	if frame.onEncodeError == nil {
		return nil
	}
	if replacement := frame.onEncodeError(err); replacement != nil {
		return c.writeFrame(replacement)
	}
	return nil
}

// send queues a frame; it blocks while the queue is full and drops the frame
// if the link is closed.
func (c *framedConn) send(frame *outgoingFrame) {
	select {
	case c.queue <- frame:
	case <-c.closed:
	}
}

// skip discards the body of a frame.
func (c *framedConn) skipBody(header frameHeader) error {
	if !header.HasBody {
		return nil
	}
	return c.decoder.DecodeValue(reflect.Value{})
}
