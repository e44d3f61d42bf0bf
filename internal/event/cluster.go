package event

import (
	"log/slog"
	"net/netip"
	"time"
)

// ConfigRejected reports that a configuration in the store is invalid.
type ConfigRejected struct {
	Key      string `event:"key" doc:"key in the store"`
	Revision uint64 `event:"revision" doc:"revision of the store at which it was written"`
	Error    error  `event:"error" doc:"why it is invalid"`
}

// Kind implements Event.
func (ConfigRejected) Kind() Kind {
	return Kind{"configuration rejected", slog.LevelError, "The last valid configuration stays in force."}
}

// ConfigInstalled reports that a configuration is in force.
type ConfigInstalled struct {
	Version  uint64 `event:"version" doc:"version of the configuration"`
	Revision uint64 `event:"revision" doc:"revision of the store at which it was written"`
	Routes   int    `event:"routes" doc:"number of routes"`
	Services int    `event:"services" doc:"number of services"`
}

// Kind implements Event.
func (ConfigInstalled) Kind() Kind {
	return Kind{"configuration installed", slog.LevelInfo, "New requests are handled with this version. The node never returns to an older version."}
}

// LeafChanged reports that the announcement of a leaf was created, changed or removed.
type LeafChanged struct {
	Leaf     string         `event:"leaf" doc:"id of the leaf's incarnation"`
	Service  string         `event:"service" doc:"service of the leaf; empty if the announcement was removed"`
	Address  netip.AddrPort `event:"address" doc:"address on which the leaf listens"`
	Draining bool           `event:"draining" doc:"whether the leaf is draining and gets no new work"`
	Cold     time.Duration  `event:"cold" doc:"how much longer the leaf reports to be cold"`
	Removed  bool           `event:"removed" doc:"whether the announcement was removed"`
	Revision uint64         `event:"revision" doc:"revision of the store"`
}

// Kind implements Event.
func (LeafChanged) Kind() Kind {
	return Kind{"leaf changed", slog.LevelInfo, "A leaf was added, changed, started to drain or was removed."}
}

// ZoneCordoned reports that operators cordoned or uncordoned a zone.
type ZoneCordoned struct {
	Zone     string `event:"zone" doc:"name of the zone"`
	Cordoned bool   `event:"cordoned" doc:"true if the leaves of the zone get no new attempts"`
	Revision uint64 `event:"revision" doc:"revision of the store; 0 if the change was detected by reading a snapshot of the store"`
}

// Kind implements Event.
func (ZoneCordoned) Kind() Kind {
	return Kind{"cordon changed", slog.LevelInfo, "Operators took a zone out of service or returned it to service. Attempts in flight to its leaves run to completion."}
}

// LeafRejected reports that the announcement of a leaf is invalid.
type LeafRejected struct {
	Key      string `event:"key" doc:"key in the store"`
	Revision uint64 `event:"revision" doc:"revision of the store at which it was written"`
	Error    error  `event:"error" doc:"why it is invalid"`
}

// Kind implements Event.
func (LeafRejected) Kind() Kind {
	return Kind{"leaf rejected", slog.LevelError, "A leaf with an invalid announcement is taken out of use. An invalid announcement of an earlier incarnation has no effect."}
}

// NodeChanged reports that the announcement of another node was created or removed.
type NodeChanged struct {
	Peer     string `event:"peer" doc:"name of the node"`
	Removed  bool   `event:"removed" doc:"whether the announcement was removed; the node is still counted for 20 s"`
	Revision uint64 `event:"revision" doc:"revision of the store"`
}

// Kind implements Event.
func (NodeChanged) Kind() Kind {
	return Kind{"node changed", slog.LevelInfo, "The nodes divide the extra load and the connections to leaves by the number of nodes."}
}

// NodeRejected reports that the announcement of a node is invalid.
type NodeRejected struct {
	Key      string `event:"key" doc:"key in the store"`
	Revision uint64 `event:"revision" doc:"revision of the store at which it was written"`
	Error    error  `event:"error" doc:"why it is invalid"`
}

// Kind implements Event.
func (NodeRejected) Kind() Kind {
	return Kind{"node rejected", slog.LevelWarn, "The node is counted, but its zone, number of cores and address are unknown."}
}
