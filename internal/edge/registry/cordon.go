package registry

import (
	"maps"
	"slices"
	"time"
)

// Cordon takes in that operators took a zone out of service, or put it back. The
// leaves of a cordoned zone get no new attempts, whenever they were announced;
// those in flight are left to finish. Once it is put back they are taken to be
// cold, since they had nothing to do: their own word on it comes later. It reports
// whether that is news.
func (t *Table) Cordon(now time.Duration, zone string, cordoned bool) bool {
	if t.cordoned[zone] == cordoned {
		return false
	}
	if cordoned {
		t.cordoned[zone] = true
		return true
	}
	delete(t.cordoned, zone)
	for _, known := range t.entries {
		if known.Zone == zone {
			known.coldUntil = max(known.coldUntil, now+t.coldTimes[known.Service])
		}
	}
	return true
}

// ReplaceCordons takes in all zones that are out of service, and returns those
// whose state changed. A stale list may lack the newest word: it puts no zone
// back into service.
func (t *Table) ReplaceCordons(now time.Duration, zones []string, stale bool) (changed []string) {
	for _, zone := range zones {
		if t.Cordon(now, zone, true) {
			changed = append(changed, zone)
		}
	}
	if stale {
		return changed
	}
	for _, zone := range t.Cordoned() {
		if !slices.Contains(zones, zone) && t.Cordon(now, zone, false) {
			changed = append(changed, zone)
		}
	}
	return changed
}

// Cordoned returns the zones that are out of service, by name.
func (t *Table) Cordoned() []string { return slices.Sorted(maps.Keys(t.cordoned)) }
