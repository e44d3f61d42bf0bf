package combine

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/telemetry"
)

// metrics holds the Prometheus metrics of a Client.
type metrics struct {
	attempts       *prometheus.CounterVec
	droppedFetches prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	create := telemetry.NewFactory(registerer)
	return &metrics{
		attempts: create.CounterVec("micaplank_combine_attempts_total",
			"Attempts of multi-shard requests at leaves of other zones, by way: combined, direct (no combiner connected), not_taken (not sent by the combiner, then sent directly), given_up (no longer awaited) or lost (together with the combiner).",
			"way"),
		droppedFetches: create.Counter("micaplank_combine_rests_total",
			"Parts from which a combiner had dropped records that had to be fetched for the answer."),
	}
}
