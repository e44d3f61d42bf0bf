package node

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/warmup"
	"github.com/micaplank/micaplank/internal/edge/route"
)

// servicePolicies holds the declarations on services of one configuration.
type servicePolicies struct {
	shards     map[string]bool            // services that are shards of some route
	coldBounds map[string]warmup.LeafRate // by service
	coldTimes  map[string]time.Duration   // how long a leaf of each service is cold after a start
}

func newServicePolicies(config *route.Config) servicePolicies {
	shards := findShardServices(config)
	coldTimes := make(map[string]time.Duration, len(config.Services))
	for _, service := range config.Services {
		coldTimes[service.Name] = service.ColdTime
	}
	return servicePolicies{shards: shards, coldBounds: findColdBounds(config, shards), coldTimes: coldTimes}
}

// findShardServices returns the services that are shards of some route.
func findShardServices(config *route.Config) map[string]bool {
	shards := make(map[string]bool)
	for index := range config.Routes {
		for _, name := range config.Routes[index].Shards {
			shards[name] = true
		}
	}
	return shards
}

// findColdBounds returns the bounds of the services that limit the rate of their cold leaves.
func findColdBounds(config *route.Config, shards map[string]bool) map[string]warmup.LeafRate {
	bounds := make(map[string]warmup.LeafRate)
	for _, service := range config.Services {
		if service.ColdRate > 0 {
			bounds[service.Name] = warmup.LeafRate{PerSecond: service.ColdRate, Shard: shards[service.Name]}
		}
	}
	return bounds
}
