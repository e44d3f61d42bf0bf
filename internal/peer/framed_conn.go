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

// The states of an outgoingFrame. Only a queued frame can be withdrawn.
const (
	frameQueued int32 = iota
	frameWriting
	frameWithdrawn
)

// outgoingFrame is a frame to be written.
type outgoingFrame struct {
	header frameHeader
	body   any
	state  atomic.Int32
	// onEncodeError is called by the writer if the frame cannot be encoded. No byte of the frame is
	// written then. It may return a frame to write instead.
	onEncodeError func(error) *outgoingFrame
	// closeAfterFlush makes the writer flush its buffer and close the connection. The frame itself
	// is not written.
	closeAfterFlush bool
}

// withdraw prevents the frame from being written if the writer has not started with it. It reports
// whether no byte of the frame was or will be written.
func (o *outgoingFrame) withdraw() bool {
	return o.state.CompareAndSwap(frameQueued, frameWithdrawn)
}

// framedConn is an established connection that transfers frames. Its writer goroutine owns the gob
// encoder. The owner of the framedConn reads with decoder.
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

// bufferSize is the size in bytes of the read buffer and of the write buffer of a connection. It is
// large enough for many frames to share a system call.
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

// close closes the connection immediately and drops the queued frames.
func (c *framedConn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.netConn.Close()
	})
}

// writeFrames writes queued frames until the connection is closed. It flushes the buffer when the
// queue is empty, so that frames that are queued together share a system call.
func (c *framedConn) writeFrames() {
	defer c.writerDone.Done()
	defer c.close()
	// The description of the header's type is sent in a separate frame, too.
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

// writeBatch writes a frame and all frames that are queued behind it, and flushes the buffer.
func (c *framedConn) writeBatch(frame *outgoingFrame) error {
	// Without a deadline, a peer that stops reading would block the writer.
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

// writeFrame writes a frame to the buffer unless the frame was withdrawn.
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
		return c.dropFrame(frame, fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, size, MaxMessageSize))
	}
	return c.writeEncoded()
}

// writeTypeDescription writes the description of the body's type before the first value of the
// type.
func (c *framedConn) writeTypeDescription(body any) error {
	if body == nil {
		return nil
	}
	bodyType := reflect.TypeOf(body)
	if c.describedTypes[bodyType] {
		return nil
	}
	element := bodyType
	for element.Kind() == reflect.Pointer {
		element = element.Elem()
	}
	zero := reflect.New(element).Interface()
	if err := c.encode(frameHeader{Kind: frameTypes, HasBody: true}, zero); err != nil {
		return err
	}
	c.describedTypes[bodyType] = true
	return c.writeEncoded()
}

// encode encodes a header and its body into c.encoded, behind space for the length prefix.
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

// writeEncoded sets the length prefix of the encoded frame and writes it to the buffer.
func (c *framedConn) writeEncoded() error {
	frame := c.encoded.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameLengthSize))
	c.countSent(len(frame))
	_, err := c.buffered.Write(frame)
	return err
}

// dropFrame reports a frame that cannot be encoded, and writes its replacement if there is one. The
// connection stays usable because the description of the type was written before.
func (c *framedConn) dropFrame(frame *outgoingFrame, err error) error {
	if frame.onEncodeError == nil {
		return nil
	}
	if replacement := frame.onEncodeError(err); replacement != nil {
		return c.writeFrame(replacement)
	}
	return nil
}

// send queues a frame. It blocks while the queue is full, and drops the frame if the connection is
// closed.
func (c *framedConn) send(frame *outgoingFrame) {
	select {
	case c.queue <- frame:
	case <-c.closed:
	}
}

// skipBody reads and discards the body of a frame.
func (c *framedConn) skipBody(header frameHeader) error {
	if !header.HasBody {
		return nil
	}
	return c.decoder.DecodeValue(reflect.Value{})
}
