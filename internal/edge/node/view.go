package node

import (
	"sync"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/settings"
)

// view is what a node knows from the store of leaves, other nodes and services.
type view struct {
	clock clock.Clock
	index *registry.Index

	// mutex guards the fields below, the roll-outs, and the publication of all of them
	// as a topology.
	mutex    sync.Mutex
	leaves   *registry.Table
	nodes    *roster.Roster
	services services
	// leavesKnown is set once the Dispatcher has the leaves of a first reading.
	leavesKnown bool
}

func newView(from settings.Forward, clock clock.Clock) *view {
	index := registry.NewIndex()
	return &view{
		clock: clock,
		index: index,
		leaves: registry.NewTable(registry.Config{
			Doubt:    from.LeafDoubt.Duration(),
			Settling: from.LeafSettling.Duration(),
		}, index),
		nodes: roster.New(nodesMemory, from.ExtraNodes),
	}
}

// applyServices applies what a configuration says of services and their leaves, which
// the next topology shows. The caller holds the mutex.
func (v *view) applyServices(config *route.Config) {
	for _, declared := range config.Services {
		v.index.Of(declared.Name)
	}
	for index := range config.Routes {
		for _, service := range config.Routes[index].Services() {
			v.index.Of(service)
		}
	}
	v.services = servicesOf(config)
	v.leaves.SetColdTimes(v.services.coldTimes)
}

// hasLeaves reports whether the Dispatcher has the leaves of a first reading.
func (v *view) hasLeaves() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.leavesKnown
}

// announced implements announcedLeaves.
func (v *view) announced(starts []string) map[string]bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	found := make(map[string]bool, len(starts))
	for _, start := range starts {
		found[start] = v.leaves.Announced(start)
	}
	return found
}
