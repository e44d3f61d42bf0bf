package catalog

import (
	"maps"
	"net/netip"
	"slices"
)

// maximumStatementBytes is the length to which the statement of an AppliedChange is truncated.
const maximumStatementBytes = 1024

// Empty returns the catalog at revision zero, to which no change has been applied.
func Empty() *Catalog { return &Catalog{} }

// Apply returns the catalog that results from applying change to current. Apply leaves current
// unmodified and keeps no references into change. Both catalogs share their unchanged parts.
// Every node that applies the same log gets the same catalog, because Apply reads no clock and no
// random source.
//
// Apply returns an *Error if the change is invalid, is not the next revision, has the same ID as a
// change listed in Recent, or has no effect.
func Apply(current *Catalog, change Change) (*Catalog, error) {
	if err := change.Validate(); err != nil {
		return nil, err
	}
	if change.Revision != current.Revision+1 {
		return nil, newError(CodeRevision, change.ID, "change %s has revision %d, but the catalog is at revision %d", change.ID, change.Revision, current.Revision)
	}
	if earlier, applied := current.Lookup(change.ID); applied {
		return nil, newError(CodeDuplicate, change.ID, "change %s was already applied at revision %d", change.ID, earlier.Revision)
	}
	op, err := change.Command.selectOperation()
	if err != nil {
		return nil, err
	}
	editor := newEditor(current, change.Revision)
	if err := op.apply(editor); err != nil {
		return nil, err
	}
	editor.recordChange(change)
	return editor.next, nil
}

// editor builds the next catalog by copy-on-write: it starts from a shallow copy and copies a map
// before modifying it.
type editor struct {
	next *Catalog
}

func newEditor(current *Catalog, revision uint64) *editor {
	next := *current
	next.Revision = revision
	return &editor{next: &next}
}

// recordChange appends the change to Recent and drops the oldest entries beyond RetainedChanges.
func (e *editor) recordChange(change Change) {
	recent := e.next.Recent
	if excess := len(recent) + 1 - RetainedChanges; excess > 0 {
		recent = recent[excess:]
	}
	copied := make([]AppliedChange, 0, len(recent)+1)
	copied = append(copied, recent...)
	statement := change.Command.String()
	if len(statement) > maximumStatementBytes {
		statement = statement[:maximumStatementBytes-3] + "..."
	}
	e.next.Recent = append(copied, AppliedChange{
		ID:        change.ID,
		Revision:  change.Revision,
		Operator:  change.Operator,
		At:        change.At.UTC().Round(0),
		Statement: statement,
	})
}

// lookupService returns a shallow copy of the service. The copy shares its maps with the catalog.
func (e *editor) lookupService(name string) (Service, error) {
	service, exists := e.next.Services[name]
	if !exists {
		return Service{}, newUnknownServiceError(name)
	}
	return service, nil
}

func (e *editor) putService(service Service) {
	e.next.Services = copyWith(e.next.Services, service.Name, service)
}

// copyWith returns a copy of the map in which key has the value.
func copyWith[K comparable, V any](original map[K]V, key K, value V) map[K]V {
	copied := maps.Clone(original)
	if copied == nil {
		copied = make(map[K]V, 1)
	}
	copied[key] = value
	return copied
}

// copyWithout returns a copy of the map without the key, or nil if no other key is left.
func copyWithout[K comparable, V any](original map[K]V, key K) map[K]V {
	if len(original) <= 1 {
		return nil
	}
	copied := maps.Clone(original)
	delete(copied, key)
	return copied
}

// findServicesWithLeaf returns the names of the services that have the leaf, in ascending order.
func (e *editor) findServicesWithLeaf(address netip.AddrPort) []string {
	var names []string
	for name, service := range e.next.Services {
		if _, exists := service.Leaves[address]; exists {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
