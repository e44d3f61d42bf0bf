package http1

import (
	"errors"
	"syscall"
)

// hasNoPendingInput reports whether neither the peer's close nor surplus bytes have arrived on an
// idle connection. The reading goroutine notices both as well, but later on a busy machine: with
// five busy processes per core and without this check, a request sent 5 ms after the close can be
// lost.
func (c *connection) hasNoPendingInput() bool {
	_, err := c.peekSocket(make([]byte, 1))
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// peekSocket copies the bytes that have arrived on the socket and were not read, without consuming
// them, and returns their number. It does not block: without such bytes the error is EAGAIN, and nil
// after the peer's close. A connection that is not a kernel socket has no such bytes.
func (c *connection) peekSocket(buffer []byte) (count int, err error) {
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN // only the reading goroutine can tell
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err // the connection is closed
	}
	var peekErr error
	err = raw.Control(func(descriptor uintptr) {
		count, _, peekErr = syscall.Recvfrom(int(descriptor), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err // the connection is closed
	}
	return max(count, 0), peekErr
}
