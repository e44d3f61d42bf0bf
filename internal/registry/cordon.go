package registry

import (
	"maps"
	"slices"
)

// Cordon takes in that operators took a zone out of service, or put it back. The
// leaves of a cordoned zone get no new attempts, whenever they were announced;
// those in flight are left to finish. It reports whether that is news.
func (t *Table) Cordon(zone string, cordoned bool) bool {
	if t.cordoned[zone] == cordoned {
		return false
	}
	if cordoned {
		t.cordoned[zone] = true
	} else {
		delete(t.cordoned, zone)
	}
	return true
}

// ReplaceCordons takes in all zones that are out of service, and returns those
// whose state changed. A stale list may lack the newest word: it puts no zone
// back into service.
func (t *Table) ReplaceCordons(zones []string, stale bool) (changed []string) {
	for _, zone := range zones {
		if t.Cordon(zone, true) {
			changed = append(changed, zone)
		}
	}
	if stale {
		return changed
	}
	for _, zone := range t.Cordoned() {
		if !slices.Contains(zones, zone) && t.Cordon(zone, false) {
			changed = append(changed, zone)
		}
	}
	return changed
}

// Cordoned returns the zones that are out of service, by name.
func (t *Table) Cordoned() []string { return slices.Sorted(maps.Keys(t.cordoned)) }
