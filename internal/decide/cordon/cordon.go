// Package cordon decides which zones are out of service, by the operators' orders.
//
// The rule: the leaves of a cordoned zone get no new attempt of any kind, whenever they
// were announced, and what is in flight there ends by itself. Once the zone is back in
// service, its leaves count as cold for the time that their service declares.
//
// Inputs: the zones that the store lists, and whether that list is stale (it may lack
// the newest changes); for the return of a zone the time (a duration on the node's
// clock) and the service's cold time (a duration).
//
// Reason: operators take a zone out of service before they work on its machines, and
// what starts there meanwhile would be closed under its requests. A stale list only
// adds zones: an error costs a zone for some seconds, where the opposite error sends work
// to machines that are being stopped. Leaves that had no work count as cold at once,
// since they announce it only later. Not measured: the rule has no constant of its own.
package cordon

import (
	"maps"
	"slices"
	"time"
)

// Zones are the zones that are out of service. It is not safe for concurrent use.
type Zones struct {
	cordoned map[string]bool
}

// Change is a change of one zone.
type Change struct {
	Zone string
	// Cordoned says that it goes out of service; else it comes back.
	Cordoned bool
}

// NewZones returns Zones of which none is out of service.
func NewZones() *Zones { return &Zones{cordoned: make(map[string]bool)} }

// Cordoned reports whether a zone is out of service.
func (z *Zones) Cordoned(zone string) bool { return z.cordoned[zone] }

// Names returns the zones that are out of service, by name.
func (z *Zones) Names() []string { return slices.Sorted(maps.Keys(z.cordoned)) }

// Set applies a change, and reports whether it changed anything.
func (z *Zones) Set(change Change) bool {
	if z.cordoned[change.Zone] == change.Cordoned {
		return false
	}
	if change.Cordoned {
		z.cordoned[change.Zone] = true
		return true
	}
	delete(z.cordoned, change.Zone)
	return true
}

// Changes returns the changes that lead to a list of all zones that are out of
// service. It applies none. A stale list may lack the newest changes: it puts no zone
// back into service.
func (z *Zones) Changes(listed []string, stale bool) []Change {
	var changes []Change
	for index, zone := range listed {
		if !z.cordoned[zone] && !slices.Contains(listed[:index], zone) {
			changes = append(changes, Change{Zone: zone, Cordoned: true})
		}
	}
	if stale {
		return changes
	}
	for _, zone := range z.Names() {
		if !slices.Contains(listed, zone) {
			changes = append(changes, Change{Zone: zone})
		}
	}
	return changes
}

// ColdUntil returns until when a leaf is taken for cold whose zone comes back into
// service now. Known is until when it was taken for cold before.
func ColdUntil(previous, now, coldTime time.Duration) time.Duration {
	return max(previous, now+coldTime)
}
