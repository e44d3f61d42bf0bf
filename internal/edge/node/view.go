package node

import (
	"sync"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/settings"
)

// view is the node's knowledge of leaves, other nodes and services from the store.
type view struct {
	clock clock.Clock
	index *registry.Index

	// mutex guards the fields below, the rollouts, and the publication of all of them as a
	// topology.
	mutex    sync.Mutex
	leaves   *registry.Table
	nodes    *roster.Roster
	services servicePolicies
	// leavesLoaded is set once the leaves of the first read are published to the Dispatcher.
	leavesLoaded bool
}

func newView(configured settings.Forward, clock clock.Clock) *view {
	index := registry.NewIndex()
	return &view{
		clock: clock,
		index: index,
		leaves: registry.NewTable(registry.Config{
			GracePeriod:  configured.LeafDoubt.Duration(),
			SettlingTime: configured.LeafSettling.Duration(),
		}, index),
		nodes: roster.New(nodeRetention, configured.ExtraNodes),
	}
}

// applyServices applies what a configuration declares about services and their leaves. The next
// topology contains the result. The caller holds the mutex.
func (v *view) applyServices(config *route.Config) {
	for _, service := range config.Services {
		v.index.Assign(service.Name)
	}
	for index := range config.Routes {
		for _, service := range config.Routes[index].Services() {
			v.index.Assign(service)
		}
	}
	v.services = newServicePolicies(config)
	v.leaves.SetColdTimes(v.services.coldTimes)
}

// areLeavesLoaded reports whether the leaves of the first read are published to the Dispatcher.
func (v *view) areLeavesLoaded() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.leavesLoaded
}

// findAnnounced implements announcementView.
func (v *view) findAnnounced(incarnations []string) map[string]bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	announced := make(map[string]bool, len(incarnations))
	for _, incarnation := range incarnations {
		announced[incarnation] = v.leaves.Announced(incarnation)
	}
	return announced
}
