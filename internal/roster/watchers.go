package roster

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minMembersForWatchers is the minimum number of nodes for which watchers are used. With fewer
	// nodes every node can watch the store itself, because that causes few calls.
	minMembersForWatchers = 16
	// minWatchers is the minimum number of watchers. With several watchers a change reaches all
	// nodes even if one watcher fails.
	minWatchers = 3
	// maxMembersPerWatcher is the maximum number of nodes per watcher. It limits the traffic of a
	// watcher when many leaves change at once: with 75 nodes per watcher and 782 leaves a watcher
	// sends 1.3 MB per second.
	maxMembersPerWatcher = 50
)

// SelectWatchers returns the members that watch the store for the others, selected by
// SelectAcrossZones. It returns none for fewer than 16 members.
func SelectWatchers(members []Member, preferred ...netip.AddrPort) []Member {
	if len(members) < minMembersForWatchers {
		return nil
	}
	return SelectAcrossZones(members, max(minWatchers, (len(members)+maxMembersPerWatcher-1)/maxMembersPerWatcher), preferred...)
}

// SelectAcrossZones returns count members, or more if that is necessary to include one of each
// zone. Members at the preferred addresses come first, the others are ordered by a hash of their
// names. The result is the same on every node with the same arguments.
func SelectAcrossZones(members []Member, count int, preferred ...netip.AddrPort) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if aPreferred := slices.Contains(preferred, a.Peer); aPreferred != slices.Contains(preferred, b.Peer) {
			if aPreferred {
				return -1
			}
			return 1
		}
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	zones := make(map[string]bool)
	var selected []Member
	for _, member := range sorted {
		if !zones[member.Zone] || len(selected) < count {
			zones[member.Zone] = true
			selected = append(selected, member)
		}
	}
	return selected
}

// SelectPerZone returns up to perZone members of each zone, sorted by name. It selects them by a
// hash of their names, so that the loss of a member replaces only that member, by another one of
// its zone.
func SelectPerZone(members []Member, perZone int) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	selectedPerZone := make(map[string]int)
	var selected []Member
	for _, member := range sorted {
		if selectedPerZone[member.Zone] < perZone {
			selectedPerZone[member.Zone]++
			selected = append(selected, member)
		}
	}
	slices.SortFunc(selected, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return selected
}

// OrderByZone sorts members in the order in which the node self contacts them: first those of its
// own zone, and within and outside of the zone in an order that differs between nodes, so that the
// load is spread over the members.
func OrderByZone(self Member, members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if (a.Zone == self.Zone) != (b.Zone == self.Zone) {
			if a.Zone == self.Zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvousHash(self, a), rendezvousHash(self, b))
	})
	return sorted
}

// rendezvousHash returns the position of other in the order of self.
func rendezvousHash(self, other Member) uint64 {
	return xxhash.Sum64String(self.Name + "\x00" + other.Name)
}
