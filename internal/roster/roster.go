// Package roster holds the nodes that are announced, and remembers those that were
// announced lately. It chooses the nodes that watch the store for the others (Watchers) and
// those that are asked first (Preferred, Spread, FirstOfZones).
//
// It owns the announcements as the store had them. It relies on nothing but their keys and
// values; every node chooses the same from the same announcements. It is pure: time comes
// in as an argument, a duration on the node's clock.
package roster

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Member is what a node announces of itself.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Peer is where other nodes reach it.
	Peer netip.AddrPort `json:"peer"`
	// Cores is the processor time that it has, in cores (seconds a second).
	Cores float64 `json:"cores"`
}

// Encode returns the value of the announcement.
func (m Member) Encode() ([]byte, error) { return json.Marshal(m) }

// Decode reads the value of an announcement. An error is that of its JSON.
func Decode(value []byte) (Member, error) {
	var member Member
	err := json.Unmarshal(value, &member)
	return member, err
}

// entry is one announcement.
type announcement struct {
	Member
	// removedAt is when the announcement vanished, on the node's clock; zero while it
	// is there.
	removedAt time.Duration
	// order rises with each announcement.
	sequence uint64
}

// Roster holds the announcements by key: each incarnation of a node has one of
// its own. It is not safe for concurrent use.
type Roster struct {
	// memory is for how long an announcement counts after it vanished.
	retention     time.Duration
	announcements map[string]announcement
	// assumed is the count that holds until the first announcements were known
	// for as long as memory.
	assumedCount int
	// since is when the first announcement came; below zero before.
	firstAddedAt time.Duration
	// orders counts the announcements.
	lastSequence uint64
}

// New returns a Roster that remembers an announcement for some time after it vanished, and
// assumes a number of nodes until it has known some for that time.
func New(memory time.Duration, assumed int) *Roster {
	return &Roster{retention: memory, announcements: make(map[string]announcement), assumedCount: assumed, firstAddedAt: -1}
}

// Add takes in an announcement.
func (r *Roster) Add(now time.Duration, key string, member Member) {
	if r.firstAddedAt < 0 {
		r.firstAddedAt = now
	}
	r.lastSequence++
	r.announcements[key] = announcement{Member: member, sequence: r.lastSequence}
}

// Remove takes in that an announcement is gone.
func (r *Roster) Remove(now time.Duration, key string) {
	if known, found := r.announcements[key]; found && known.removedAt == 0 {
		known.removedAt = max(now, 1)
		r.announcements[key] = known
	}
}

// Replace takes in all announcements there are.
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

// Count returns how many nodes there are, or were lately.
func (r *Roster) Count(now time.Duration) int {
	count := len(r.Members(now))
	if r.firstAddedAt < 0 || now-r.firstAddedAt < r.retention {
		return max(count, r.assumedCount)
	}
	return max(count, 1)
}

// Members returns the nodes that there are, or were lately, by name. Of two
// incarnations of a node, the one announced last is given.
func (r *Roster) Members(now time.Duration) []Member {
	latest := make(map[string]announcement, len(r.announcements))
	for key, known := range r.announcements {
		if known.removedAt > 0 && now-known.removedAt > r.retention {
			delete(r.announcements, key)
			continue
		}
		if former, found := latest[known.Name]; !found || former.sequence < known.sequence {
			latest[known.Name] = known
		}
	}
	members := make([]Member, 0, len(latest))
	for _, known := range latest {
		members = append(members, known.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}
