package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// memberIndex orders the members for the selection of watchers and relays. It is rebuilt only when
// the list changes.
type memberIndex struct {
	all    []Member
	byName map[string]Member
	// alive lists the other alive members, ordered by name.
	alive []Member
	// zoneMembers lists the alive members of this node's zone, including this node at index
	// position, ordered by their rendezvous hash.
	zoneMembers []Member
	position    int
	// roots lists the first members in hash order of each other zone.
	roots []Member
}

// rebuild replaces the list of members. The index retains the slice.
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

// rebuildRoots selects the first members of each zone other than ownZone.
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

// sortByRank orders the members of one zone by rendezvous hash. All nodes with the same view select
// the same first members, and the loss of one member does not change the order of the others.
func sortByRank(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
}

// rank returns the rendezvous hash of a member.
func rank(member Member) uint64 { return xxhash.Sum64String(member.Zone + "\x00" + member.Name) }

// parents returns the members from which this node takes relayed confirmations: two nodes nearer to
// the roots of its zone's tree. A root has no parents.
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
