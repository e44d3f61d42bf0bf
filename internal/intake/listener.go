package intake

import "net"

// Listener accepts connections through a Guard.
type Listener struct {
	net.Listener
	Guard *Guard
}

// Accept implements net.Listener. It returns the next connection that the bounds allow.
func (l Listener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accepted, open := l.Guard.Accept(connection); open {
			return accepted, nil
		}
	}
}
