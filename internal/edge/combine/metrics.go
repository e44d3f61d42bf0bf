package combine

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/telemetry"
)

// metrics are those of a Client.
type metrics struct {
	attempts       *prometheus.CounterVec
	droppedFetches prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	create := telemetry.NewFactory(registerer)
	return &metrics{
		attempts: create.Counters("micaplank_combine_attempts_total",
			"Attempts of requests of many shards at leaves of other zones, by way: combined, direct (no combiner in touch), not_taken (the combiner did nothing, then direct), given_up (not wanted any more) or lost (with the combiner).",
			"way"),
		droppedFetches: create.Counter("micaplank_combine_rests_total",
			"Parts of which a combiner had left out records that counted after all."),
	}
}
