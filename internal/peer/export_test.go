package peer

import "net/netip"

// ListenDatagrams opens a socket for datagrams without a Server.
func ListenDatagrams(address netip.AddrPort) (*Datagrams, error) {
	return listenDatagrams(address, newDatagramMetrics(nil))
}

// RemovePing makes a server like one of a version that does not know methodPing.
func RemovePing(server *Server) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.methods, methodPing)
}
