package peer

import "net/netip"

// ListenDatagrams opens a socket for datagrams without a Server.
func ListenDatagrams(address netip.AddrPort) (*Datagrams, error) {
	return listenDatagrams(address, newDatagramMetrics(nil))
}
