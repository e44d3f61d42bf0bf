package node

import (
	"sync/atomic"

	"github.com/micaplank/micaplank/internal/decide/executors"
)

// terms provides the terms under which requests run on this node now.
type terms struct {
	config interface {
		Version() uint64
		Fresh() bool
	}
	// cordoned lists the zones that get no new attempts; nil before the first topology is
	// published.
	cordoned atomic.Pointer[[]string]
}

// current returns the terms of a request that is received now.
func (t *terms) current() executors.Terms {
	return executors.Terms{Version: t.config.Version(), Fresh: t.config.Fresh(), Cordoned: t.cordonedZones()}
}

// setCordoned sets the cordoned zones.
func (t *terms) setCordoned(zones []string) { t.cordoned.Store(&zones) }

// cordonedZones returns the cordoned zones, sorted by name.
func (t *terms) cordonedZones() []string {
	if zones := t.cordoned.Load(); zones != nil {
		return *zones
	}
	return nil
}
