package roster

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// fewestForWatchers is the number of nodes from which some watch the store for the
	// others. Not measured by itself: with fewer the calls of all are few.
	minMembersForWatchers = 16
	// leastWatchers is how many there are at least. Not measured: chosen because a change
	// has to reach all nodes also behind one that fails.
	minWatchers = 3
	// membersPerWatcher is how many nodes share a watcher at most. It bounds what
	// a watcher sends when many leaves change at once: at 75 followers and 782
	// leaves it was 1.3 MB a second.
	maxMembersPerWatcher = 50
)

// Watchers returns the members that watch the store for the others: see Spread.
// There are none among few nodes.
func Watchers(members []Member, preferred ...netip.AddrPort) []Member {
	if len(members) < minMembersForWatchers {
		return nil
	}
	return Spread(members, max(minWatchers, (len(members)+maxMembersPerWatcher-1)/maxMembersPerWatcher), preferred...)
}

// Spread returns about the wanted number of members: those at the preferred
// addresses first, then those first by a hash of their names, with one of each
// zone at least. Every node computes the same from the same members and
// preferences.
func Spread(members []Member, wanted int, preferred ...netip.AddrPort) []Member {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b Member) int {
		if first := slices.Contains(preferred, a.Peer); first != slices.Contains(preferred, b.Peer) {
			if first {
				return -1
			}
			return 1
		}
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	zones := make(map[string]bool)
	var chosen []Member
	for _, member := range order {
		if !zones[member.Zone] || len(chosen) < wanted {
			zones[member.Zone] = true
			chosen = append(chosen, member)
		}
	}
	return chosen
}

// FirstOfZones returns some members of each zone, those first by a hash of their
// names, sorted by name. A member that is lost is followed by the next of its zone;
// the others stay.
func FirstOfZones(members []Member, perZone int) []Member {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b Member) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	taken := make(map[string]int)
	var chosen []Member
	for _, member := range order {
		if taken[member.Zone] < perZone {
			taken[member.Zone]++
			chosen = append(chosen, member)
		}
	}
	slices.SortFunc(chosen, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return chosen
}

// Preferred sorts members as a node asks them: those of its zone first, and
// otherwise in an order of its own, so that the nodes spread over them.
func Preferred(self Member, members []Member) []Member {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b Member) int {
		if (a.Zone == self.Zone) != (b.Zone == self.Zone) {
			if a.Zone == self.Zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvousHash(self, a), rendezvousHash(self, b))
	})
	return order
}

func rendezvousHash(self, other Member) uint64 {
	return xxhash.Sum64String(self.Name + "\x00" + other.Name)
}
