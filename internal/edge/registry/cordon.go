package registry

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/cordon"
)

// SetCordon records that operators cordoned or uncordoned a zone, and applies the rule of package
// cordon. It reports whether the state of the zone changed.
func (t *Table) SetCordon(now time.Duration, zone string, cordoned bool) bool {
	if !t.zones.Set(cordon.Change{Zone: zone, Cordoned: cordoned}) {
		return false
	}
	if cordoned {
		return true
	}
	for _, entry := range t.entries {
		if entry.Zone == zone {
			entry.coldUntil = cordon.ColdUntil(entry.coldUntil, now, t.coldTimes[entry.Service])
		}
	}
	return true
}

// ReplaceCordons applies the list of all cordoned zones, and returns the zones whose state changed.
// A stale list may lack the newest changes.
func (t *Table) ReplaceCordons(now time.Duration, zones []string, stale bool) (changed []string) {
	for _, change := range t.zones.Diff(zones, stale) {
		t.SetCordon(now, change.Zone, change.Cordoned)
		changed = append(changed, change.Zone)
	}
	return changed
}

// Cordoned returns the cordoned zones, sorted by name.
func (t *Table) Cordoned() []string { return t.zones.Names() }
