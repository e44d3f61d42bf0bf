package leaf

import (
	"io"
	"sync/atomic"
)

// requestBody is the body of one request. It records whether any byte of it was read. A body that
// is abandoned before the first read never yields a byte, and a leaf cannot run a request without
// its body. It is a separate type because net/http sets GetBody for a bytes.Reader, which would
// allow it to send the request again.
type requestBody struct {
	content []byte
	// check is called immediately before the first byte is read. The process may have been frozen
	// after the request was created, so an earlier check is not sufficient.
	check func() error
	state atomic.Uint32
}

// The states of a requestBody. Only an unread body can be abandoned.
const (
	bodyUnread uint32 = iota
	bodyStarted
	bodyAbandoned
)

// Read implements io.Reader. It must not be called concurrently.
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

// beginRead returns an error if the body must not be read, and otherwise marks it as started.
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

// Close implements io.Closer. It abandons the body if no byte of it was read.
func (b *requestBody) Close() error {
	b.abandon()
	return nil
}

// abandon prevents all reads of a body that is still unread. It reports whether no byte of the body
// was read or can be read later.
func (b *requestBody) abandon() bool {
	b.state.CompareAndSwap(bodyUnread, bodyAbandoned)
	return b.state.Load() == bodyAbandoned
}
