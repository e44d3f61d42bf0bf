package event

import (
	"log/slog"
	"net/netip"
	"time"
)

// StoreRead reports that the whole of the store was read.
type StoreRead struct {
	Leaves   int  `event:"leaves" doc:"leaves announced"`
	Nodes    int  `event:"nodes" doc:"nodes announced"`
	AfterGap bool `event:"after_gap" doc:"whether changes may have been missed before"`
	Stale    bool `event:"stale" doc:"whether they are the copy of a node that has lost the store"`
}

// Kind implements Event.
func (StoreRead) Kind() Kind {
	return Kind{"store read", slog.LevelInfo, "Configuration and announcements were read as a whole: at the start, or because the history after the last revision was gone."}
}

// SourceUsed reports that a node that starts took over the copy of another one.
type SourceUsed struct {
	Source   netip.AddrPort `event:"source" doc:"the other node"`
	Revision uint64         `event:"revision" doc:"revision of the store that the copy is of"`
	Age      time.Duration  `event:"age" doc:"time since the store last answered the other node"`
	Stale    bool           `event:"stale" doc:"whether the other node has lost the store"`
}

// Kind implements Event.
func (SourceUsed) Kind() Kind {
	return Kind{"copied from node", slog.LevelInfo, "The node took configuration and announcements from another node in place of the store, and follows the changes from there on."}
}

// SourceFailed reports that the copy of another node could not be taken over.
type SourceFailed struct {
	Source netip.AddrPort `event:"source" doc:"the other node"`
	Error  error          `event:"error" doc:"why"`
}

// Kind implements Event.
func (SourceFailed) Kind() Kind {
	return Kind{"copy from node failed", slog.LevelInfo, "The node asks a further source, or reads the store itself."}
}

// StoreLost reports that the store does not answer.
type StoreLost struct {
	Error error `event:"error" doc:"how it shows; \"the watcher has lost the store\" if another node told so"`
}

// Kind implements Event.
func (StoreLost) Kind() Kind {
	return Kind{"store lost", slog.LevelWarn, "The node serves on with the configuration and the leaves that it knows."}
}

// StoreRegained reports that the store answers again.
type StoreRegained struct {
	Away time.Duration `event:"away" doc:"how long it did not answer"`
}

// Kind implements Event.
func (StoreRegained) Kind() Kind {
	return Kind{"store regained", slog.LevelInfo, "For some seconds, leaves whose announcement is gone are doubted, not dropped."}
}

// WatcherFailed reports that a node that watches the store for others did not
// answer well.
type WatcherFailed struct {
	Watcher netip.AddrPort `event:"watcher" doc:"the node that was asked"`
	State   string         `event:"state" doc:"its answer: lost or refused; empty if there was none"`
	Error   error          `event:"error" doc:"why there was no answer"`
}

// Kind implements Event.
func (WatcherFailed) Kind() Kind {
	return Kind{"watcher failed", slog.LevelInfo, "This node asks another watcher, or the store itself."}
}
