package http1

import "github.com/prometheus/client_golang/prometheus"

// metrics counts what happens to connections.
type metrics struct {
	dials, dialFailures, broken prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_http1_dials_total", Help: "Connections that were begun to be opened to leaves."}),
		dialFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_http1_dial_failures_total", Help: "Connections to leaves that could not be opened."}),
		broken: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_http1_broken_exchanges_total", Help: "Requests that were sent to leaves and got no whole answer of their own."}),
	}
	registerer.MustRegister(created.dials, created.dialFailures, created.broken)
	return created
}
