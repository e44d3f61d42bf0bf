// Package cordon decides which zones are cordoned (taken out of service) by the operators' orders.
//
// Rule: the leaves of a cordoned zone get no new attempts, whenever the leaves were announced, and
// attempts in flight there run to their end. When the zone returns to service, its leaves count as
// cold for the time that their service declares.
//
// Inputs: the zones that the store lists, and whether that list is stale (it may lack the newest
// changes); for the return of a zone, the time (a duration on the node's clock) and the service's
// cold time (a duration).
//
// Reason: operators cordon a zone before they work on its machines, and attempts
// started there would be lost when the machines stop. A stale list only adds zones: a zone cordoned
// by mistake is lost for some seconds, while a zone returned by mistake sends work to machines that
// are being stopped. Leaves without work count as cold immediately, since they announce it only
// later.
package cordon

import (
	"maps"
	"slices"
	"time"
)

// Zones holds the cordoned zones. It is not safe for concurrent use.
type Zones struct {
	cordoned map[string]bool
}

// Change is the change of one zone.
type Change struct {
	Zone string
	// Cordoned is set if the zone becomes cordoned, and not set if it returns to service.
	Cordoned bool
}

// NewZones returns Zones in which no zone is cordoned.
func NewZones() *Zones { return &Zones{cordoned: make(map[string]bool)} }

// Cordoned reports whether a zone is cordoned.
func (z *Zones) Cordoned(zone string) bool { return z.cordoned[zone] }

// Names returns the cordoned zones, sorted by name.
func (z *Zones) Names() []string { return slices.Sorted(maps.Keys(z.cordoned)) }

// Set applies a change and reports whether it had an effect.
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

// Diff returns the changes that lead to a list of all cordoned zones. It applies
// none of them. A stale list may lack the newest changes, so it returns no zone to service.
func (z *Zones) Diff(listed []string, stale bool) []Change {
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

// ColdUntil returns until when a leaf counts as cold whose zone returns to service now. previous is
// until when the leaf counted as cold before.
func ColdUntil(previous, now, coldTime time.Duration) time.Duration {
	return max(previous, now+coldTime)
}
