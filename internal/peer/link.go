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
	frameTaken
	frameWithdrawn
)

// outgoing is one frame on its way to a link's writer.
type outgoing struct {
	header frameHeader
	body   any
	state  atomic.Int32
	// failed is called by the writer if the frame was dropped before any byte
	// of it was written; it may return a frame to be written instead.
	failed func(error) *outgoing
	// last makes the writer flush and close the link instead of writing.
	last bool
}

// withdraw takes the frame back; it reports whether the writer has not begun
// with it, so that no byte of it can leave any more.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(frameQueued, frameWithdrawn)
}

// link is one established connection. Its writer goroutine owns the gob
// encoder; the owner of the link reads with decoder.
type link struct {
	connection net.Conn
	decoder    *gob.Decoder
	queue      chan *outgoing
	done       chan struct{}
	closeOnce  sync.Once
	writer     sync.WaitGroup
	countSent  func(bytes int)

	encoded bytes.Buffer
	encoder *gob.Encoder
	sent    *bufio.Writer
	types   map[reflect.Type]bool
}

// bufferSize is that of each of a connection's two buffers, in bytes.
// Not measured: chosen because many frames share a system call then.
const bufferSize = 32 << 10

func newLink(connection net.Conn, countSent, countReceived func(bytes int)) *link {
	l := &link{
		connection: connection,
		queue:      make(chan *outgoing, outgoingQueueSize),
		done:       make(chan struct{}),
		countSent:  countSent,
		sent:       bufio.NewWriterSize(connection, bufferSize),
		types:      map[reflect.Type]bool{},
	}
	source := bufio.NewReaderSize(connection, bufferSize)
	l.decoder = gob.NewDecoder(&frameReader{source: source, total: countReceived})
	l.encoder = gob.NewEncoder(&l.encoded)
	l.writer.Add(1)
	go l.write()
	return l
}

// close ends the connection at once; frames still queued are dropped.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.connection.Close()
	})
}

// write sends queued frames and flushes when the queue is empty, so that
// frames queued together share a system call.
func (l *link) write() {
	defer l.writer.Done()
	defer l.close()
	// The header's type is described in a frame of its own as well.
	if l.encode(frameHeader{Kind: frameTypes}, nil) != nil || l.emit() != nil {
		return
	}
	for {
		select {
		case <-l.done:
			return
		case frame := <-l.queue:
			if l.writeAll(frame) != nil {
				return
			}
		}
	}
}

func (l *link) writeAll(frame *outgoing) error {
	// Without a deadline, a peer that stops reading would hold the writer.
	if err := l.connection.SetWriteDeadline(time.Now().Add(flushTimeout)); err != nil {
		return err
	}
	for {
		if frame.last {
			_ = l.sent.Flush()
			return ErrClosed
		}
		if err := l.writeFrame(frame); err != nil {
			return err
		}
		select {
		case frame = <-l.queue:
		default:
			return l.sent.Flush()
		}
	}
}

func (l *link) writeFrame(frame *outgoing) error {
	if !frame.state.CompareAndSwap(frameQueued, frameTaken) {
		return nil
	}
	if err := l.describe(frame.body); err != nil {
		return l.drop(frame, err)
	}
	if err := l.encode(frame.header, frame.body); err != nil {
		return l.drop(frame, err)
	}
	if size := l.encoded.Len() - frameLengthSize; size > MaximumMessage {
		return l.drop(frame, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, MaximumMessage))
	}
	return l.emit()
}

// describe sends the description of the body's type before its first value.
func (l *link) describe(body any) error {
	if body == nil {
		return nil
	}
	kind := reflect.TypeOf(body)
	if l.types[kind] {
		return nil
	}
	element := kind
	for element.Kind() == reflect.Pointer {
		element = element.Elem()
	}
	zero := reflect.New(element).Interface()
	if err := l.encode(frameHeader{Kind: frameTypes, HasBody: true}, zero); err != nil {
		return err
	}
	l.types[kind] = true
	return l.emit()
}

func (l *link) encode(header frameHeader, body any) error {
	l.encoded.Reset()
	l.encoded.Write(make([]byte, frameLengthSize))
	header.HasBody = body != nil
	if err := l.encoder.Encode(header); err != nil {
		return err
	}
	if body == nil {
		return nil
	}
	return l.encoder.Encode(body)
}

func (l *link) emit() error {
	frame := l.encoded.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameLengthSize))
	l.countSent(len(frame))
	_, err := l.sent.Write(frame)
	return err
}

// drop reports a frame that cannot be encoded; the link stays usable, because
// its type was described before.
func (l *link) drop(frame *outgoing, err error) error {
	if frame.failed == nil {
		return nil
	}
	if replacement := frame.failed(err); replacement != nil {
		return l.writeFrame(replacement)
	}
	return nil
}

// send queues a frame; it blocks while the queue is full and drops the frame
// if the link is closed.
func (l *link) send(frame *outgoing) {
	select {
	case l.queue <- frame:
	case <-l.done:
	}
}

// skip discards the body of a frame.
func (l *link) skip(header frameHeader) error {
	if !header.HasBody {
		return nil
	}
	return l.decoder.DecodeValue(reflect.Value{})
}
