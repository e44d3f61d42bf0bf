package event

import (
	"log/slog"
	"net/netip"
	"time"
)

// ConfigRejected reports that a configuration cannot be used.
type ConfigRejected struct {
	Key      string `event:"key" doc:"where it lies"`
	Revision uint64 `event:"revision" doc:"revision of the store that wrote it"`
	Error    error  `event:"error" doc:"what is wrong with it"`
}

// Kind implements Event.
func (ConfigRejected) Kind() Kind {
	return Kind{"configuration rejected", slog.LevelError, "The last good configuration stays in force."}
}

// ConfigInstalled reports that a configuration is in force.
type ConfigInstalled struct {
	Version  uint64 `event:"version" doc:"its version"`
	Revision uint64 `event:"revision" doc:"revision of the store that wrote it"`
	Routes   int    `event:"routes" doc:"routes in it"`
	Services int    `event:"services" doc:"services in it"`
}

// Kind implements Event.
func (ConfigInstalled) Kind() Kind {
	return Kind{"configuration installed", slog.LevelInfo, "Requests are handled by this version from now on; never by an older one again."}
}

// LeafChanged reports that what a leaf announces has changed.
type LeafChanged struct {
	Leaf     string         `event:"leaf" doc:"id of the leaf's incarnation"`
	Service  string         `event:"service" doc:"service that it is of; empty with a removal"`
	Address  netip.AddrPort `event:"address" doc:"where it listens"`
	Draining bool           `event:"draining" doc:"whether it gets no new work"`
	Cold     time.Duration  `event:"cold" doc:"how much longer it is cold, by its word"`
	Removed  bool           `event:"removed" doc:"whether its announcement is gone"`
	Revision uint64         `event:"revision" doc:"revision of the store"`
}

// Kind implements Event.
func (LeafChanged) Kind() Kind {
	return Kind{"leaf changed", slog.LevelInfo, "A leaf came, changed, drains or is gone."}
}

// ZoneCordoned reports that operators took a zone out of service, or put it back.
type ZoneCordoned struct {
	Zone     string `event:"zone" doc:"the zone"`
	Cordoned bool   `event:"cordoned" doc:"whether its leaves get no new attempts"`
	Revision uint64 `event:"revision" doc:"revision of the store; 0 if it was found when the whole of the store was read"`
}

// Kind implements Event.
func (ZoneCordoned) Kind() Kind {
	return Kind{"cordon changed", slog.LevelInfo, "Operators took a zone out of service, or put it back. Attempts in flight at its leaves are left to finish."}
}

// LeafRejected reports that the announcement of a leaf cannot be read.
type LeafRejected struct {
	Key      string `event:"key" doc:"where it lies"`
	Revision uint64 `event:"revision" doc:"revision of the store that wrote it"`
	Error    error  `event:"error" doc:"what is wrong with it"`
}

// Kind implements Event.
func (LeafRejected) Kind() Kind {
	return Kind{"leaf rejected", slog.LevelError, "An announcement that cannot be read takes the leaf out of use; one of a former start changes nothing."}
}

// NodeChanged reports that another node came or is gone.
type NodeChanged struct {
	Peer     string `event:"peer" doc:"name of the node"`
	Removed  bool   `event:"removed" doc:"whether its announcement is gone; it counts for 20 s more"`
	Revision uint64 `event:"revision" doc:"revision of the store"`
}

// Kind implements Event.
func (NodeChanged) Kind() Kind {
	return Kind{"node changed", slog.LevelInfo, "The nodes share the extra load and the connections to leaves by their number."}
}

// NodeRejected reports that the announcement of a node cannot be read.
type NodeRejected struct {
	Key      string `event:"key" doc:"where it lies"`
	Revision uint64 `event:"revision" doc:"revision of the store that wrote it"`
	Error    error  `event:"error" doc:"what is wrong with it"`
}

// Kind implements Event.
func (NodeRejected) Kind() Kind {
	return Kind{"node rejected", slog.LevelWarn, "The node counts, but nothing is known of its zone, processor and address."}
}
