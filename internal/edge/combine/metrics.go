package combine

import "github.com/prometheus/client_golang/prometheus"

// metrics are those of a Client.
type metrics struct {
	attempts *prometheus.CounterVec
	rests    prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "micaplank_combine_attempts_total",
			Help: "Attempts of requests of many shards at leaves of other zones, by way: combined, direct (no combiner in touch), not_taken (the combiner did nothing, then direct), given_up (not wanted any more) or lost (with the combiner).",
		}, []string{"way"}),
		rests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "micaplank_combine_rests_total",
			Help: "Parts of which a combiner had left out records that counted after all.",
		}),
	}
	registerer.MustRegister(created.attempts, created.rests)
	return created
}
