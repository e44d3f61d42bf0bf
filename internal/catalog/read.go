package catalog

import (
	"cmp"
	"maps"
	"slices"
)

// Lookup returns the record of an applied change if the change is one of the last RetainedChanges
// changes.
func (c *Catalog) Lookup(changeID string) (AppliedChange, bool) {
	for i := len(c.Recent) - 1; i >= 0; i-- {
		if c.Recent[i].ID == changeID {
			return c.Recent[i], true
		}
	}
	return AppliedChange{}, false
}

// ServiceNames returns the names of the services in ascending order.
func (c *Catalog) ServiceNames() []string { return slices.Sorted(maps.Keys(c.Services)) }

// VoterNames returns the names of the voters in ascending order.
func (c *Catalog) VoterNames() []string { return slices.Sorted(maps.Keys(c.Voters)) }

// NewestPartition returns the newest partition, or the zero Partition if the service has no
// partition.
func (s Service) NewestPartition() Partition {
	if len(s.Partitions) == 0 {
		return Partition{}
	}
	return s.Partitions[len(s.Partitions)-1]
}

// ClassNames returns the names of the classes in ascending order.
func (s Service) ClassNames() []string { return slices.Sorted(maps.Keys(s.Classes)) }

// SortedLeaves returns the leaves ordered by address.
func (s Service) SortedLeaves() []Leaf {
	return slices.SortedFunc(maps.Values(s.Leaves), func(a, b Leaf) int {
		return cmp.Or(a.Address.Addr().Compare(b.Address.Addr()), cmp.Compare(a.Address.Port(), b.Address.Port()))
	})
}
