package peer

import (
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"
)

// pairAttempts bounds the search for a port number free on both protocols.
const maxPortAttempts = 32

// ListenPair opens a Server and Datagrams on the same address. With port 0 it
// looks for a number that is free for both.
func ListenPair(address netip.AddrPort, registerer prometheus.Registerer) (*Server, *Datagrams, error) {
	attempts := 1
	if address.Port() == 0 {
		attempts = maxPortAttempts
	}
	serverMetrics := newCallMetrics(registerer, "server")
	datagramMetrics := newDatagramMetrics(registerer)
	var err error
	for range attempts {
		server, datagrams, attemptErr := listenPair(address, serverMetrics, datagramMetrics)
		if attemptErr == nil {
			return server, datagrams, nil
		}
		err = attemptErr
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
