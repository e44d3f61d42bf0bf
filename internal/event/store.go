package event

import (
	"log/slog"
	"net/netip"
	"time"
)

// StoreRead tells that the whole of the store was read.
type StoreRead struct {
	Leaves   int  `event:"leaves" doc:"leaves announced"`
	Nodes    int  `event:"nodes" doc:"nodes announced"`
	AfterGap bool `event:"after_gap" doc:"whether changes may have been missed before"`
	Stale    bool `event:"stale" doc:"whether they are the copy of a node that has lost the store"`
}

// Message implements Event.
func (StoreRead) Message() string { return "store read" }

// Level implements Event.
func (StoreRead) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (StoreRead) Describe() string {
	return "Configuration and announcements were read as a whole: at the start, or because the history after the last revision was gone."
}

// SourceUsed tells that a node that starts took over the copy of another one.
type SourceUsed struct {
	Source   netip.AddrPort `event:"source" doc:"the other node"`
	Revision uint64         `event:"revision" doc:"revision of the store that the copy is of"`
	Age      time.Duration  `event:"age" doc:"time since the store last answered the other node"`
	Stale    bool           `event:"stale" doc:"whether the other node has lost the store"`
}

// Message implements Event.
func (SourceUsed) Message() string { return "copied from node" }

// Level implements Event.
func (SourceUsed) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (SourceUsed) Describe() string {
	return "The node took configuration and announcements from another node in place of the store, and follows the changes from there on."
}

// SourceFailed tells that the copy of another node could not be taken over.
type SourceFailed struct {
	Source netip.AddrPort `event:"source" doc:"the other node"`
	Error  error          `event:"error" doc:"why"`
}

// Message implements Event.
func (SourceFailed) Message() string { return "copy from node failed" }

// Level implements Event.
func (SourceFailed) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (SourceFailed) Describe() string {
	return "The node asks a further source, or reads the store itself."
}

// StoreLost tells that the store does not answer.
type StoreLost struct {
	Error error `event:"error" doc:"how it shows; \"the watcher has lost the store\" if another node told so"`
}

// Message implements Event.
func (StoreLost) Message() string { return "store lost" }

// Level implements Event.
func (StoreLost) Level() slog.Level { return slog.LevelWarn }

// Describe implements Event.
func (StoreLost) Describe() string {
	return "The node serves on with the configuration and the leaves that it knows."
}

// StoreRegained tells that the store answers again.
type StoreRegained struct {
	Away time.Duration `event:"away" doc:"how long it did not answer"`
}

// Message implements Event.
func (StoreRegained) Message() string { return "store regained" }

// Level implements Event.
func (StoreRegained) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (StoreRegained) Describe() string {
	return "For some seconds, leaves whose announcement is gone are doubted, not dropped."
}

// WatcherFailed tells that a node that watches the store for others did not
// answer well.
type WatcherFailed struct {
	Watcher netip.AddrPort `event:"watcher" doc:"the node that was asked"`
	State   string         `event:"state" doc:"its answer: lost or refused; empty if there was none"`
	Error   error          `event:"error" doc:"why there was no answer"`
}

// Message implements Event.
func (WatcherFailed) Message() string { return "watcher failed" }

// Level implements Event.
func (WatcherFailed) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (WatcherFailed) Describe() string {
	return "This node asks another watcher, or the store itself."
}
