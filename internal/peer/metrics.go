package peer

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/telemetry"
)

// datagramMetrics holds the metrics of Datagrams.
type datagramMetrics struct {
	datagrams *prometheus.CounterVec
	bytes     *prometheus.CounterVec
	dropped   *prometheus.CounterVec
}

func newDatagramMetrics(registerer prometheus.Registerer) *datagramMetrics {
	factory := telemetry.NewFactory(registerer)
	return &datagramMetrics{
		datagrams: factory.CounterVec("micaplank_peer_datagrams_total",
			"Datagrams, by kind and direction.", "kind", "direction"),
		bytes: factory.CounterVec("micaplank_peer_datagram_bytes_total",
			"Payload bytes of datagrams, by kind and direction.", "kind", "direction"),
		dropped: factory.CounterVec("micaplank_peer_datagrams_dropped_total",
			"Datagrams dropped, by reason.", "reason"),
	}
}

// clientSide is the name of the client side in the names of metrics.
const clientSide = "client"

// callMetrics holds the metrics of a Client or a Server.
type callMetrics struct {
	calls       *prometheus.CounterVec
	bytes       *prometheus.CounterVec
	connections prometheus.Gauge
	// silentConnections is nil on the server side, because only the client detects silent
	// connections.
	silentConnections prometheus.Counter
}

func newCallMetrics(registerer prometheus.Registerer, side string) *callMetrics {
	factory := telemetry.NewFactory(registerer)
	m := &callMetrics{
		calls: factory.CounterVec("micaplank_peer_"+side+"_calls_total",
			"Calls on the "+side+" side, by method and result.", "method", "result"),
		bytes: factory.CounterVec("micaplank_peer_"+side+"_bytes_total",
			"Bytes of frames on the "+side+" side, by direction.", "direction"),
		connections: factory.Gauge("micaplank_peer_"+side+"_connections",
			"Open connections on the "+side+" side."),
	}
	if side == clientSide {
		m.silentConnections = factory.Counter("micaplank_peer_client_silent_connections_total",
			"Connections that the client side closed because the peer sent nothing while calls waited.")
	}
	return m
}
