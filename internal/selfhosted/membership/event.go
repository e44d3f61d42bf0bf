package membership

import "time"

// EventKind is the type of an Event.
type EventKind uint8

const (
	// EventChanged reports that a member was added, or that its state, incarnation or addresses
	// changed.
	EventChanged EventKind = iota + 1
	// EventSuperseded reports that another process holds the name of this node with a higher
	// incarnation. The core sends and accepts no packets from then on; the node must stop serving.
	EventSuperseded
	// EventZoneHeld and EventZoneReleased report the start and the end of a zone hold.
	EventZoneHeld
	EventZoneReleased
	// EventPaused reports that this process did not run for the duration Event.Pause.
	EventPaused
	// EventRevision reports that a peer holds the catalog revision Event.Revision, which is higher
	// than any revision announced before.
	EventRevision
)

// Event reports a change of the view or of the state of this node.
type Event struct {
	Kind EventKind
	// Member is the record after the change and Previous the record before it. Previous has no name
	// if the member is new.
	Member   Member
	Previous Member
	Zone     string
	Pause    time.Duration
	Revision uint64
}

func (c *Core) emit(event Event) { c.ready.Events = append(c.ready.Events, event) }
