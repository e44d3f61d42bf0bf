package catalog

import (
	"maps"
	"net/netip"
	"slices"
)

// maximumRecordedStatement is the length in bytes to which a statement is cut
// when it is remembered in Recent.
const maximumStatementBytes = 1024

// Empty returns the catalog of revision zero, before any change.
func Empty() *Catalog { return &Catalog{} }

// Apply returns the catalog that follows current in the log. It neither
// modifies current nor keeps references into change; the two catalogs share
// what did not change. The same log gives the same catalog everywhere: Apply
// reads no clock and no random source.
//
// It refuses, with an *Error, a change that is invalid, is not the next
// revision, repeats an id still remembered, or would change nothing.
func Apply(current *Catalog, change Change) (*Catalog, error) {
	if err := change.Validate(); err != nil {
		return nil, err
	}
	if change.Revision != current.Revision+1 {
		return nil, newError(CodeRevision, change.ID, "change %s is for revision %d, the catalog is at %d", change.ID, change.Revision, current.Revision)
	}
	if earlier, applied := current.Lookup(change.ID); applied {
		return nil, newError(CodeDuplicate, change.ID, "change %s took effect at revision %d", change.ID, earlier.Revision)
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

// editor is a catalog under change: a shallow copy, in which only what is
// modified is copied further.
type editor struct {
	next *Catalog
}

func newEditor(current *Catalog, revision uint64) *editor {
	next := *current
	next.Revision = revision
	return &editor{next: &next}
}

// remember notes the change, dropping the oldest beyond RetainedChanges.
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

// service returns a copy of the service; its maps are still shared.
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

// with returns a copy of the map in which key has the value.
func copyWith[K comparable, V any](original map[K]V, key K, value V) map[K]V {
	copied := maps.Clone(original)
	if copied == nil {
		copied = make(map[K]V, 1)
	}
	copied[key] = value
	return copied
}

// without returns a copy of the map without the key; nil when it is empty.
func copyWithout[K comparable, V any](original map[K]V, key K) map[K]V {
	if len(original) <= 1 {
		return nil
	}
	copied := maps.Clone(original)
	delete(copied, key)
	return copied
}

// servicesWithLeaf returns the names of the services that have the leaf, in
// order.
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
