package http1

import (
	"errors"
	"syscall"
)

// reusable reports whether nothing has arrived on an idle connection: neither its end
// nor surplus bytes. The goroutine that reads sees it, too, but on a busy machine later:
// with five busy processes a core, one request sent 5 ms after the close was lost in a
// minute of trying, and none with this check.
func (c *connection) hasNoPendingInput() bool {
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return true // not a socket of the kernel: the goroutine that reads sees it
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // it is closed
	}
	var peeked error
	err = raw.Control(func(descriptor uintptr) {
		var next [1]byte
		_, _, peeked = syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && (errors.Is(peeked, syscall.EAGAIN) || errors.Is(peeked, syscall.EINTR))
}
