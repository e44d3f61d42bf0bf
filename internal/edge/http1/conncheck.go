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
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return true // not a kernel socket: only the reading goroutine can tell
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // the connection is closed
	}
	var peeked error
	err = raw.Control(func(descriptor uintptr) {
		var next [1]byte
		_, _, peeked = syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && (errors.Is(peeked, syscall.EAGAIN) || errors.Is(peeked, syscall.EINTR))
}
