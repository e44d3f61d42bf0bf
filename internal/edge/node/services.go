package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/warmup"
	"github.com/micaplank/micaplank/internal/edge/route"
)

// services is what a configuration says of services.
type services struct {
	shards     map[string]bool          // services that are shards of some route
	coldBounds map[string]warmup.Bound  // by service
	coldTimes  map[string]time.Duration // for how long a leaf of a service is cold
}

func servicesOf(config *route.Config) services {
	shards := shardsOf(config)
	coldTimes := make(map[string]time.Duration, len(config.Services))
	for _, declared := range config.Services {
		coldTimes[declared.Name] = declared.ColdTime
	}
	return services{shards: shards, coldBounds: coldBoundsOf(config, shards), coldTimes: coldTimes}
}

// shardsOf returns the services that are shards of some route.
func shardsOf(config *route.Config) map[string]bool {
	shards := make(map[string]bool)
	for index := range config.Routes {
		for _, name := range config.Routes[index].Shards {
			shards[name] = true
		}
	}
	return shards
}

// coldBoundsOf returns the services whose cold leaves are bounded.
func coldBoundsOf(config *route.Config, shards map[string]bool) map[string]warmup.Bound {
	bounds := make(map[string]warmup.Bound)
	for _, declared := range config.Services {
		if declared.ColdRate > 0 {
			bounds[declared.Name] = warmup.Bound{Rate: declared.ColdRate, Shard: shards[declared.Name]}
		}
	}
	return bounds
}
