package registry

import (
	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/position"
)

// Stage is the progress of a version's rollout at a service.
type Stage struct {
	// Order numbers the orders of the service that this node has received; zero if the order was
	// withdrawn.
	Order   uint64
	Version string
	Phase   rollout.Phase
	// Recorded is the position in the store at which the phase was written; zero if this is not
	// known.
	Recorded position.Position
}

// SetStages replaces the stages of all services.
func (t *Table) SetStages(stages map[string]Stage) {
	t.stages = stages
	t.recordMixedOrders()
}

// recordMixedOrders records the services that have leaves of another version under their order. If
// all leaves have the ordered version from the start, there is nothing to try out.
func (t *Table) recordMixedOrders() {
	if len(t.stages) == 0 {
		return
	}
	for _, entry := range t.entries {
		if stage, exists := t.stages[entry.Service]; exists && entry.Version != stage.Version {
			t.mixedOrders[entry.Service] = stage.Order
		}
	}
}

// HasMixedVersions reports whether leaves of another version were seen under the order of a
// service.
func (t *Table) HasMixedVersions(service string) bool {
	stage, exists := t.stages[service]
	order, seen := t.mixedOrders[service]
	return exists && seen && order == stage.Order
}

// isUsable reports whether a leaf may get attempts, regardless of its version.
func (t *Table) isUsable(entry *leafEntry) bool {
	return !entry.Draining && !t.zones.Cordoned(entry.Zone)
}

// isCanary reports whether a leaf may get attempts only within an allowance.
func (t *Table) isCanary(entry *leafEntry) bool {
	stage, exists := t.stages[entry.Service]
	if !exists || entry.Version != stage.Version || !t.HasMixedVersions(entry.Service) {
		return false
	}
	return !stage.Phase.Shifted() && stage.Phase != rollout.PhaseRolledBack
}

// excludedByRollout reports whether a leaf gets no attempts because of its version: the version was
// rolled back, or the leaf is about to be stopped in favour of another version.
func (t *Table) excludedByRollout(entry *leafEntry) bool {
	stage, exists := t.stages[entry.Service]
	if !exists {
		return false
	}
	if entry.Version == stage.Version {
		return stage.Phase == rollout.PhaseRolledBack
	}
	if !stage.Phase.Shifted() || !t.hasUsableLeaf(entry.Service, stage.Version) {
		return false
	}
	return stage.Phase == rollout.PhaseShift || !entry.isCreatedAfter(stage.Recorded)
}

// isCreatedAfter reports whether a leaf is known to be created after the end of a rollout, so that it
// is unrelated to it. Revisions of two eras of the store tell nothing about their order.
func (e *leafEntry) isCreatedAfter(recorded position.Position) bool {
	return !recorded.IsZero() && e.Created.Era == recorded.Era && e.Created.Revision >= recorded.Revision
}

// hasUsableLeaf reports whether a service has a usable leaf of a version.
func (t *Table) hasUsableLeaf(service, version string) bool {
	for _, entry := range t.entries {
		if entry.Service == service && entry.Version == version && t.isUsable(entry) {
			return true
		}
	}
	return false
}

// Supply is the capacity of a service's leaves by version.
type Supply struct {
	// Target is the number of slots of usable leaves of the version.
	Target int
	// Control is the number of slots of usable leaves of the other versions.
	Control int
	// Others holds the incarnations of all leaves of the other versions.
	Others map[string]bool
	// Usable holds the incarnations of the usable leaves of the version.
	Usable map[string]bool
}

// Supply returns the capacity of a service that has a Stage.
func (t *Table) Supply(service string) Supply {
	stage := t.stages[service]
	supply := Supply{Others: make(map[string]bool), Usable: make(map[string]bool)}
	for _, entry := range t.entries {
		if entry.Service != service {
			continue
		}
		target := entry.Version == stage.Version
		if !target {
			supply.Others[entry.Incarnation()] = true
		}
		switch {
		case !t.isUsable(entry):
		case target:
			supply.Target += entry.Slots
			supply.Usable[entry.Incarnation()] = true
		default:
			supply.Control += entry.Slots
		}
	}
	return supply
}

// VersionAndZone returns the software version and the zone of an incarnation; false if it is not in
// the table.
func (t *Table) VersionAndZone(incarnation string) (version, zone string, exists bool) {
	entry, exists := t.entries[LeafID(incarnation)]
	if !exists || entry.Incarnation() != incarnation {
		return "", "", false
	}
	return entry.Version, entry.Zone, true
}
