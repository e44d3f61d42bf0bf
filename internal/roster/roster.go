// Package roster counts the nodes that are announced, and remembers those that
// were announced lately. It is pure: time comes in as an argument.
package roster

import "time"

// Roster holds the keys of announcements. It is not safe for concurrent use.
type Roster struct {
	memory time.Duration
	// announced holds each key with the time at which it went; zero while it
	// is there.
	announced map[string]time.Duration
	// assumed is the count that holds until the first keys were known for as
	// long as memory.
	assumed int
	since   time.Duration
}

// New returns a Roster that remembers a key for some time after it went, and
// assumes a number of nodes at first.
func New(memory time.Duration, assumed int) *Roster {
	return &Roster{memory: memory, announced: make(map[string]time.Duration), assumed: assumed, since: -1}
}

// Add takes in that a key is there.
func (r *Roster) Add(now time.Duration, key string) {
	if r.since < 0 {
		r.since = now
	}
	r.announced[key] = 0
}

// Remove takes in that a key is gone.
func (r *Roster) Remove(now time.Duration, key string) {
	if wentAt, known := r.announced[key]; known && wentAt == 0 {
		r.announced[key] = max(now, 1)
	}
}

// Replace takes in all keys there are.
func (r *Roster) Replace(now time.Duration, keys []string) {
	present := make(map[string]bool, len(keys))
	for _, key := range keys {
		present[key] = true
		r.Add(now, key)
	}
	for key := range r.announced {
		if !present[key] {
			r.Remove(now, key)
		}
	}
}

// Count returns how many nodes there are, or were lately, by the names that
// keys stand for.
func (r *Roster) Count(now time.Duration, name func(key string) string) int {
	names := make(map[string]bool, len(r.announced))
	for key, wentAt := range r.announced {
		if wentAt > 0 && now-wentAt > r.memory {
			delete(r.announced, key)
			continue
		}
		names[name(key)] = true
	}
	if r.since < 0 || now-r.since < r.memory {
		return max(len(names), r.assumed)
	}
	return max(len(names), 1)
}
