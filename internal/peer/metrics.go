package peer

import "github.com/prometheus/client_golang/prometheus"

type datagramMetrics struct {
	packets *prometheus.CounterVec
	bytes   *prometheus.CounterVec
	dropped *prometheus.CounterVec
}

func newDatagramMetrics(registerer prometheus.Registerer) *datagramMetrics {
	m := &datagramMetrics{
		packets: counter("micaplank_peer_datagrams_total",
			"Datagrams, by kind and direction.", "kind", "direction"),
		bytes: counter("micaplank_peer_datagram_bytes_total",
			"Payload bytes of datagrams, by kind and direction.", "kind", "direction"),
		dropped: counter("micaplank_peer_datagrams_dropped_total",
			"Datagrams dropped, by reason.", "reason"),
	}
	register(registerer, m.packets, m.bytes, m.dropped)
	return m
}

// clientSide names the side of callers in metrics.
const clientSide = "client"

type callMetrics struct {
	calls       *prometheus.CounterVec
	bytes       *prometheus.CounterVec
	connections prometheus.Gauge
	silent      prometheus.Counter
}

func newCallMetrics(registerer prometheus.Registerer, side string) *callMetrics {
	m := &callMetrics{
		calls: counter("micaplank_peer_"+side+"_calls_total",
			"Calls on the "+side+" side, by method and result.", "method", "result"),
		bytes: counter("micaplank_peer_"+side+"_bytes_total",
			"Bytes of frames on the "+side+" side, by direction.", "direction"),
		connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "micaplank_peer_" + side + "_connections",
			Help: "Open connections on the " + side + " side.",
		}),
		silent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_peer_client_silent_connections_total",
			Help: "Connections that were closed on the client side since they had gone silent.",
		}),
	}
	register(registerer, m.calls, m.bytes, m.connections)
	if side == clientSide {
		register(registerer, m.silent) // only who asks can tell
	}
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func register(registerer prometheus.Registerer, collectors ...prometheus.Collector) {
	if registerer == nil {
		return
	}
	registerer.MustRegister(collectors...)
}
