package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// memberIndex orders the members for the choice of watchers and relays. It is
// rebuilt only when the list changes.
type memberIndex struct {
	all    []Member
	byName map[string]Member
	// alive lists the other members that are alive, ordered by name.
	alive []Member
	// zone lists the alive members of the own zone in the order of a hash, this
	// node included, at position.
	zoneMembers []Member
	position    int
	// roots lists the first members, in the same order, of each other zone.
	roots []Member
}

// rebuild takes a new list; the index keeps it.
func (x *memberIndex) rebuild(self Member, all []Member, rootsPerZone int) {
	x.all = all
	x.byName = make(map[string]Member, len(all)+1)
	x.alive = x.alive[:0]
	zones := map[string][]Member{}
	for _, member := range all {
		if member.Name == self.Name {
			continue
		}
		x.byName[member.Name] = member
		if member.Alive {
			x.alive = append(x.alive, member)
			zones[member.Zone] = append(zones[member.Zone], member)
		}
	}
	slices.SortFunc(x.alive, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	x.zoneMembers = append(zones[self.Zone], self)
	sortByRank(x.zoneMembers)
	x.position = slices.IndexFunc(x.zoneMembers, func(m Member) bool { return m.Name == self.Name })
	x.rebuildRoots(self.Zone, zones, rootsPerZone)
}

func (x *memberIndex) rebuildRoots(ownZone string, zones map[string][]Member, rootsPerZone int) {
	x.roots = x.roots[:0]
	for zone, members := range zones {
		if zone == ownZone {
			continue
		}
		sortByRank(members)
		x.roots = append(x.roots, members[:min(rootsPerZone, len(members))]...)
	}
	slices.SortFunc(x.roots, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}

// sortByRank orders the members of one zone by rendezvous hash, so that all
// nodes with the same view choose the same first ones, and the loss of one
// moves no other.
func sortByRank(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
}

func rank(member Member) uint64 { return xxhash.Sum64String(member.Zone + "\x00" + member.Name) }

// parents returns the members from which this node takes confirmations: two
// nodes nearer to the roots of its zone's tree. A root has none.
func (x *memberIndex) parents(roots, fanout int) []Member {
	if x.position < roots {
		return nil
	}
	firstIndex := (x.position - roots) / fanout
	secondIndex := firstIndex ^ 1
	selected := []Member{x.zoneMembers[firstIndex]}
	if secondIndex < x.position {
		selected = append(selected, x.zoneMembers[secondIndex])
	}
	return selected
}
