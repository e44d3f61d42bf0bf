package mirror

import (
	"maps"
	"slices"
	"strings"
)

// replica is a copy of the items under a prefix, as of a revision. It does no I/O.
type replica struct {
	items    map[string]Item
	revision uint64
}

// replace sets the complete set of items at a revision.
func (c *replica) replace(items []Item, revision uint64) {
	c.items = make(map[string]Item, len(items))
	for _, item := range items {
		c.items[item.Key] = item
	}
	c.revision = revision
}

// apply applies the changes up to a revision.
func (c *replica) apply(events []Event, revision uint64) {
	for _, event := range events {
		if event.Removed {
			delete(c.items, event.Key)
			continue
		}
		c.items[event.Key] = event.Item
	}
	c.revision = max(c.revision, revision)
}

// list returns all items in the order of their keys.
func (c *replica) list() []Item {
	return slices.SortedFunc(maps.Values(c.items), func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
}

// diff returns the events that lead from the replica to the items of a later revision. Items newer
// than that revision are omitted, because a watch from that revision returns them.
func (c *replica) diff(items []Item, revision uint64) []Event {
	var events []Event
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		if item.Revision > c.revision && item.Revision <= revision {
			events = append(events, Event{Item: item})
		}
	}
	slices.SortFunc(events, func(a, b Event) int {
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	})
	for _, existing := range c.list() {
		if !present[existing.Key] {
			events = append(events, Event{Item: Item{Key: existing.Key, Revision: revision}, Removed: true})
		}
	}
	return events
}
