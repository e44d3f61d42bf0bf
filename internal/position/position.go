// Package position orders the changes of a store that may be restored from a backup. A restore sets
// the revision of the store back and begins a new era, in which revisions are issued again. A
// position is therefore an era and a revision in it.
//
// It is pure and owns the only comparison of positions.
package position

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of a store. The zero value precedes all others.
type Position struct {
	// Era counts the restores of the store; zero if the store does not state it.
	Era uint64
	// Revision counts the changes within an era.
	Revision uint64
}

// Compare returns a negative number if p precedes other, zero if both are equal, and a positive
// number if p follows other.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p precedes other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsZero reports whether p is the zero value.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later one of two positions.
func Max(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}

// String returns the era, if there is one, and the revision.
func (p Position) String() string {
	if p.Era == 0 {
		return fmt.Sprint(p.Revision)
	}
	return fmt.Sprintf("%d/%d", p.Era, p.Revision)
}
