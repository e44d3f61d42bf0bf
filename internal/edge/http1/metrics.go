package http1

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/telemetry"
)

// metrics counts connection events.
type metrics struct {
	dials, dialFailures, brokenExchanges prometheus.Counter
	replaced                             prometheus.Counter
	surplusResponses, oversized          *prometheus.CounterVec
	waiting                              prometheus.Gauge
}

// The places of surplus bytes, as values of the label "place".
const (
	surplusBefore = "before"
	surplusBehind = "behind"
	surplusIdle   = "idle"
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	create := telemetry.NewFactory(registerer)
	return &metrics{
		dials: create.Counter("micaplank_http1_dials_total",
			"Connections to leaves that were started to be opened."),
		dialFailures: create.Counter("micaplank_http1_dial_failures_total",
			"Connections to leaves that could not be opened."),
		brokenExchanges: create.Counter("micaplank_http1_broken_exchanges_total",
			"Requests that were sent to leaves and got no complete response of their own."),
		surplusResponses: create.CounterVec("micaplank_http1_surplus_responses_total",
			"Responses of leaves that belong to no request in progress on their connection, or other bytes that arrive there unasked, by place: before (the awaited response), behind (directly behind a response), idle (on an idle connection).",
			"place"),
		oversized: create.CounterVec("micaplank_http1_oversized_responses_total",
			"Responses of leaves that were given up because they take too much memory, by bound: head, framing (chunks and trailers), body, all (responses of all connections).",
			"bound"),
		replaced: create.Counter("micaplank_http1_replaced_connections_total",
			"Connections to leaves that were closed because they had carried an earlier attempt of the request that needed one."),
		waiting: create.Gauge("micaplank_http1_waiting_requests",
			"Requests that wait for a connection to their leaf, since all that this node may keep are in use."),
	}
}
