package combine

import "github.com/prometheus/client_golang/prometheus"

// metrics are those of a Client.
type metrics struct {
	attempts *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_combine_attempts_total",
			Help: "Attempts of requests of many shards at leaves of other zones, by way: combined, direct (no combiner in touch), not_taken (the combiner did nothing, then direct), given_up (not wanted any more) or lost (with the combiner).",
		}, []string{"way"}),
	}
	registerer.MustRegister(created.attempts)
	return created
}
