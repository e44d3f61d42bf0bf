package registry

import "github.com/micaplank/micaplank/internal/decide/rollout"

// Stage says how far the roll-out of a version is at a service.
type Stage struct {
	// Order is the revision of the order; zero if it was withdrawn.
	Order   uint64
	Version string
	Phase   rollout.Phase
	// Recorded is the revision at which the phase was written; zero if it came only from
	// another node.
	Recorded uint64
}

// SetStages replaces the roll-outs, by service.
func (t *Table) SetStages(stages map[string]Stage) {
	t.stages = stages
	t.recordMixedOrders()
}

// findMixed notes the services that have leaves of another version under their
// order. Where all leaves have the version from the start there is nothing to try.
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

// Mixed reports whether leaves of another version were known under the order of a
// service.
func (t *Table) HasMixedVersions(service string) bool {
	stage, exists := t.stages[service]
	order, seen := t.mixedOrders[service]
	return exists && seen && order == stage.Order
}

// usable reports whether a leaf may get work but for its version.
func (t *Table) usable(entry *leafEntry) bool {
	return !entry.Draining && !t.zones.Cordoned(entry.Zone)
}

// canary reports whether a leaf may get attempts only within an allowance.
func (t *Table) canary(entry *leafEntry) bool {
	stage, exists := t.stages[entry.Service]
	if !exists || entry.Version != stage.Version || !t.HasMixedVersions(entry.Service) {
		return false
	}
	return !stage.Phase.Shifted() && stage.Phase != rollout.PhaseRolledBack
}

// barred reports whether a leaf gets no work because of its version: one that was rolled
// back, or that is about to be stopped for another one.
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
	// What comes once a roll-out is over has nothing to do with it.
	return stage.Phase == rollout.PhaseShift || stage.Recorded == 0 || entry.Created < stage.Recorded
}

// served reports whether a service has a leaf of a version that may get work.
func (t *Table) hasUsableLeaf(service, version string) bool {
	for _, entry := range t.entries {
		if entry.Service == service && entry.Version == version && t.usable(entry) {
			return true
		}
	}
	return false
}

// Supply is what there is of a service's leaves, by version.
type Supply struct {
	// Target and Control are the slots of leaves of the version, and of the others,
	// that may get work.
	Target, Control int
	// Others lists the leaves of other versions by incarnation, and Usable those of the
	// version that may get work.
	Others, Usable map[string]bool
}

// Supply returns what there is of the leaves of a service that has a Stage.
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
		case !t.usable(entry):
		case target:
			supply.Target += entry.Slots
			supply.Usable[entry.Incarnation()] = true
		default:
			supply.Control += entry.Slots
		}
	}
	return supply
}

// Version returns the version of a leaf's software, and its zone; false if this
// incarnation is not known, or not any more.
func (t *Table) VersionAndZone(incarnation string) (version, zone string, exists bool) {
	entry, exists := t.entries[IDOf(incarnation)]
	if !exists || entry.Incarnation() != incarnation {
		return "", "", false
	}
	return entry.Version, entry.Zone, true
}
