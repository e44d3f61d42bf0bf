package peer

import (
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"
)

// maxPortAttempts is the maximum number of ports that ListenPair tries with port 0.
const maxPortAttempts = 32

// ListenPair opens a Server and a Datagrams on the same address. With port 0 it searches for a port
// that is free for both TCP and UDP.
func ListenPair(address netip.AddrPort, registerer prometheus.Registerer) (*Server, *Datagrams, error) {
	attempts := 1
	if address.Port() == 0 {
		attempts = maxPortAttempts
	}
	serverMetrics := newCallMetrics(registerer, "server")
	datagramMetrics := newDatagramMetrics(registerer)
	var err error
	for range attempts {
		server, datagrams, listenErr := listenPair(address, serverMetrics, datagramMetrics)
		if listenErr == nil {
			return server, datagrams, nil
		}
		err = listenErr
	}
	return nil, nil, err
}

func listenPair(
	address netip.AddrPort, serverMetrics *callMetrics, datagramMetrics *datagramMetrics,
) (*Server, *Datagrams, error) {
	server, err := listen(address, serverMetrics)
	if err != nil {
		return nil, nil, err
	}
	datagrams, err := listenDatagrams(server.Address(), datagramMetrics)
	if err != nil {
		_ = server.listener.Close()
		return nil, nil, err
	}
	return server, datagrams, nil
}
