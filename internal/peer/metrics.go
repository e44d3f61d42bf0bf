package peer

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/telemetry"
)

type datagramMetrics struct {
	datagrams *prometheus.CounterVec
	bytes     *prometheus.CounterVec
	dropped   *prometheus.CounterVec
}

func newDatagramMetrics(registerer prometheus.Registerer) *datagramMetrics {
	factory := telemetry.NewFactory(registerer)
	return &datagramMetrics{
		datagrams: factory.Counters("micaplank_peer_datagrams_total",
			"Datagrams, by kind and direction.", "kind", "direction"),
		bytes: factory.Counters("micaplank_peer_datagram_bytes_total",
			"Payload bytes of datagrams, by kind and direction.", "kind", "direction"),
		dropped: factory.Counters("micaplank_peer_datagrams_dropped_total",
			"Datagrams dropped, by reason.", "reason"),
	}
}

// clientSide names the side of callers in metrics.
const clientSide = "client"

type callMetrics struct {
	calls       *prometheus.CounterVec
	bytes       *prometheus.CounterVec
	connections prometheus.Gauge
	// silent is nil on the server side: only the client can tell.
	silentConnections prometheus.Counter
}

func newCallMetrics(registerer prometheus.Registerer, side string) *callMetrics {
	factory := telemetry.NewFactory(registerer)
	m := &callMetrics{
		calls: factory.Counters("micaplank_peer_"+side+"_calls_total",
			"Calls on the "+side+" side, by method and result.", "method", "result"),
		bytes: factory.Counters("micaplank_peer_"+side+"_bytes_total",
			"Bytes of frames on the "+side+" side, by direction.", "direction"),
		connections: factory.Gauge("micaplank_peer_"+side+"_connections",
			"Open connections on the "+side+" side."),
	}
	if side == clientSide {
		m.silentConnections = factory.Counter("micaplank_peer_client_silent_connections_total",
			"Connections that were closed on the client side since they had gone silent.")
	}
	return m
}
