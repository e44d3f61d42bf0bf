// Package roster tracks the nodes that announce themselves in the store, and retains announcements
// for some time after their removal. It selects the nodes that watch the store for the others
// (SelectWatchers) and the order or subset in which nodes contact each other (OrderByZone,
// SelectAcrossZones, SelectPerZone).
//
// The package depends only on the keys and values of the announcements. SelectWatchers,
// SelectAcrossZones and SelectPerZone return the same nodes on every node that has the same
// announcements. The package is pure: the current time is an argument, a duration on the node's
// clock.
package roster

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Member is the announcement of a node.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Peer is the address at which other nodes reach the node.
	Peer netip.AddrPort `json:"peer"`
	// Cores is the processor time available to the node, in cores (seconds per second).
	Cores float64 `json:"cores"`
}

// Encode returns the value of the announcement in the store.
func (m Member) Encode() ([]byte, error) { return json.Marshal(m) }

// Decode decodes the value of an announcement. The error is that of encoding/json.
func Decode(value []byte) (Member, error) {
	var member Member
	err := json.Unmarshal(value, &member)
	return member, err
}

// announcement is a Member with its state in the Roster.
type announcement struct {
	Member
	// removedAt is the time of the removal on the node's clock; zero while the announcement is in
	// the store.
	removedAt time.Duration
	// sequence increases with each added announcement.
	sequence uint64
}

// Roster holds the announcements of nodes. Each incarnation of a node has its own key. A Roster is
// not safe for concurrent use.
type Roster struct {
	// retention is how long an announcement counts after its removal.
	retention     time.Duration
	announcements map[string]announcement // by key
	// assumedCount is the minimum of Count until retention has passed since firstAddedAt.
	assumedCount int
	// firstAddedAt is the time of the first announcement; negative before it.
	firstAddedAt time.Duration
	// lastSequence is the sequence of the announcement that was added last.
	lastSequence uint64
}

// New returns a Roster that retains announcements for the given time after their removal. Count
// returns at least assumedCount until that time has passed since the first announcement.
func New(retention time.Duration, assumedCount int) *Roster {
	return &Roster{retention: retention, announcements: make(map[string]announcement), assumedCount: assumedCount, firstAddedAt: -1}
}

// Add adds or replaces an announcement.
func (r *Roster) Add(now time.Duration, key string, member Member) {
	if r.firstAddedAt < 0 {
		r.firstAddedAt = now
	}
	r.lastSequence++
	r.announcements[key] = announcement{Member: member, sequence: r.lastSequence}
}

// Remove records that an announcement was removed from the store.
func (r *Roster) Remove(now time.Duration, key string) {
	if removed, ok := r.announcements[key]; ok && removed.removedAt == 0 {
		removed.removedAt = max(now, 1)
		r.announcements[key] = removed
	}
}

// Replace adds the given announcements and removes all others.
func (r *Roster) Replace(now time.Duration, members map[string]Member) {
	for key, member := range members {
		r.Add(now, key, member)
	}
	for key := range r.announcements {
		if _, present := members[key]; !present {
			r.Remove(now, key)
		}
	}
}

// Count returns the number of nodes that are announced or whose announcement is retained. It is at
// least 1, for the node itself.
func (r *Roster) Count(now time.Duration) int {
	count := len(r.Members(now))
	if r.firstAddedAt < 0 || now-r.firstAddedAt < r.retention {
		return max(count, r.assumedCount)
	}
	return max(count, 1)
}

// Members returns the nodes that are announced or whose announcement is retained, sorted by name.
// If a node has several incarnations, Members returns the one that was announced last.
func (r *Roster) Members(now time.Duration) []Member {
	latest := make(map[string]announcement, len(r.announcements))
	for key, current := range r.announcements {
		if current.removedAt > 0 && now-current.removedAt > r.retention {
			delete(r.announcements, key)
			continue
		}
		if previous, ok := latest[current.Name]; !ok || previous.sequence < current.sequence {
			latest[current.Name] = current
		}
	}
	members := make([]Member, 0, len(latest))
	for _, current := range latest {
		members = append(members, current.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}
