package leaf

import (
	"io"
	"sync/atomic"
)

// requestBody is the body of one request. It is no bytes.Reader, so that
// net/http has no GetBody to send it a second time with, and it records
// whether a byte was handed over. Once abandoned unread it never yields one:
// without its body a request cannot run.
type requestBody struct {
	content []byte
	// admit is asked directly before the first byte is handed over: the
	// process may have been frozen since the request was made.
	check func() error
	state atomic.Uint32
}

// The states of a requestBody.
const (
	bodyUnread uint32 = iota
	bodyStarted
	bodyAbandoned
)

// Read implements io.Reader. It is called by one goroutine at a time.
func (b *requestBody) Read(buffer []byte) (int, error) {
	if err := b.beginRead(); err != nil {
		return 0, err
	}
	n := copy(buffer, b.content)
	b.content = b.content[n:]
	if len(b.content) == 0 {
		return n, io.EOF
	}
	return n, nil
}

// start makes sure that the body may be read.
func (b *requestBody) beginRead() error {
	if b.state.Load() == bodyUnread {
		if err := b.check(); err != nil {
			b.abandon()
			return err
		}
		b.state.CompareAndSwap(bodyUnread, bodyStarted)
	}
	if b.state.Load() == bodyAbandoned {
		return io.ErrClosedPipe
	}
	return nil
}

// Close implements io.Closer. It abandons the body if it is still unread.
func (b *requestBody) Close() error {
	b.abandon()
	return nil
}

// abandon makes sure that no byte will be read if none was, and reports
// whether that is so.
func (b *requestBody) abandon() bool {
	b.state.CompareAndSwap(bodyUnread, bodyAbandoned)
	return b.state.Load() == bodyAbandoned
}
