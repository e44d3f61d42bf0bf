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
	t.findMixed()
}

// findMixed notes the services that have leaves of another version under their
// order. Where all leaves have the version from the start there is nothing to try.
func (t *Table) findMixed() {
	if len(t.stages) == 0 {
		return
	}
	for _, known := range t.entries {
		if stage, found := t.stages[known.Service]; found && known.Version != stage.Version {
			t.mixed[known.Service] = stage.Order
		}
	}
}

// Mixed reports whether leaves of another version were known under the order of a
// service.
func (t *Table) Mixed(service string) bool {
	stage, found := t.stages[service]
	order, seen := t.mixed[service]
	return found && seen && order == stage.Order
}

// usable reports whether a leaf may get work but for its version.
func (t *Table) usable(known *entry) bool { return !known.Draining && !t.zones.Cordoned(known.Zone) }

// canary reports whether a leaf may get attempts only within an allowance.
func (t *Table) canary(known *entry) bool {
	stage, found := t.stages[known.Service]
	if !found || known.Version != stage.Version || !t.Mixed(known.Service) {
		return false
	}
	return !stage.Phase.Shifted() && stage.Phase != rollout.PhaseRolledBack
}

// barred reports whether a leaf gets no work because of its version: one that was rolled
// back, or that is about to be stopped for another one.
func (t *Table) barred(known *entry) bool {
	stage, found := t.stages[known.Service]
	if !found {
		return false
	}
	if known.Version == stage.Version {
		return stage.Phase == rollout.PhaseRolledBack
	}
	if !stage.Phase.Shifted() || !t.served(known.Service, stage.Version) {
		return false
	}
	// What comes once a roll-out is over has nothing to do with it.
	return stage.Phase == rollout.PhaseShift || stage.Recorded == 0 || known.Created < stage.Recorded
}

// served reports whether a service has a leaf of a version that may get work.
func (t *Table) served(service, version string) bool {
	for _, known := range t.entries {
		if known.Service == service && known.Version == version && t.usable(known) {
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
	for _, known := range t.entries {
		if known.Service != service {
			continue
		}
		target := known.Version == stage.Version
		if !target {
			supply.Others[known.Incarnation()] = true
		}
		switch {
		case !t.usable(known):
		case target:
			supply.Target += known.Slots
			supply.Usable[known.Incarnation()] = true
		default:
			supply.Control += known.Slots
		}
	}
	return supply
}

// Version returns the version of a leaf's software, and its zone; false if this
// incarnation is not known, or not any more.
func (t *Table) Version(incarnation string) (version, zone string, found bool) {
	known, found := t.entries[IDOf(incarnation)]
	if !found || known.Incarnation() != incarnation {
		return "", "", false
	}
	return known.Version, known.Zone, true
}
