package membership

import "time"

// EventKind says what an event is about.
type EventKind uint8

// The kinds of events.
const (
	// EventChanged reports that a member was added, that its state,
	// incarnation or addresses changed, or that it was forgotten.
	EventChanged EventKind = iota + 1
	// EventSuperseded reports that another process holds the name of this
	// node with a higher incarnation. The core is silent from then on; the
	// node must stop serving.
	EventSuperseded
	// EventZoneHeld and EventZoneReleased report the begin and end of a hold.
	EventZoneHeld
	EventZoneReleased
	// EventPaused reports that this process did not run for Event.Pause.
	EventPaused
	// EventRevision reports that a peer holds Event.Revision, higher than any
	// heard of before.
	EventRevision
)

// Event is a change of what this node knows.
type Event struct {
	Kind EventKind
	// Member is the member after the change, and Previous before it; Previous
	// has no name if the member was not known.
	Member   Member
	Previous Member
	Zone     string
	Pause    time.Duration
	Revision uint64
}

func (c *Core) emit(event Event) { c.ready.Events = append(c.ready.Events, event) }
