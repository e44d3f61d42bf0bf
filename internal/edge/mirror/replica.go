package mirror

import (
	"maps"
	"slices"
	"strings"

	"github.com/micaplank/micaplank/internal/position"
)

// replica is a copy of the items under a prefix, as of a position. It does no I/O.
type replica struct {
	items    map[string]Item
	position position.Position
}

// replace sets the complete set of items at a position.
func (c *replica) replace(items []Item, at position.Position) {
	c.items = make(map[string]Item, len(items))
	for _, item := range items {
		c.items[item.Key] = item
	}
	c.position = at
}

// apply applies the changes up to a position.
func (c *replica) apply(events []Event, reached position.Position) {
	for _, event := range events {
		if event.Removed {
			delete(c.items, event.Key)
			continue
		}
		c.items[event.Key] = event.Item
	}
	c.position = position.Max(c.position, reached)
}

// list returns all items in the order of their keys.
func (c *replica) list() []Item {
	return slices.SortedFunc(maps.Values(c.items), func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
}

// diff returns the events that lead from the replica to the items of a later position of the same
// era. Items newer than that position are omitted, because a watch from there returns them.
func (c *replica) diff(items []Item, at position.Position) []Event {
	var events []Event
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		if item.Revision > c.position.Revision && item.Revision <= at.Revision {
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
			events = append(events, Event{Item: Item{Key: existing.Key, Revision: at.Revision, Era: at.Era}, Removed: true})
		}
	}
	return events
}
