package event

import (
	"log/slog"
	"net/netip"
	"time"
)

// StoreSnapshotRead reports that a snapshot of the store was read.
type StoreSnapshotRead struct {
	Leaves   int  `event:"leaves" doc:"number of announced leaves"`
	Nodes    int  `event:"nodes" doc:"number of announced nodes"`
	AfterGap bool `event:"after_gap" doc:"whether changes before the snapshot may have been missed"`
	Stale    bool `event:"stale" doc:"whether the snapshot comes from a node that has lost the store"`
}

// Kind implements Event.
func (StoreSnapshotRead) Kind() Kind {
	return Kind{"store read", slog.LevelInfo, "Configuration and announcements were read as a snapshot, at startup or because the changes after the last known revision were compacted."}
}

// SnapshotCopied reports that a starting node loaded its snapshot from another node.
type SnapshotCopied struct {
	Source   netip.AddrPort `event:"source" doc:"address of the other node"`
	Revision uint64         `event:"revision" doc:"revision of the snapshot"`
	Era      uint64         `event:"era" doc:"era of the store that the snapshot was read in; 0 if the store states none"`
	Age      time.Duration  `event:"age" doc:"time since the store last answered the other node"`
	Stale    bool           `event:"stale" doc:"whether the other node has lost the store"`
}

// Kind implements Event.
func (SnapshotCopied) Kind() Kind {
	return Kind{"copied from node", slog.LevelInfo, "The node loaded configuration and announcements from another node instead of the store, and watches the changes after that revision."}
}

// SnapshotCopyFailed reports that loading the snapshot of another node failed.
type SnapshotCopyFailed struct {
	Source netip.AddrPort `event:"source" doc:"address of the other node"`
	Error  error          `event:"error" doc:"reason for the failure"`
}

// Kind implements Event.
func (SnapshotCopyFailed) Kind() Kind {
	return Kind{"copy from node failed", slog.LevelInfo, "The node tries another source or reads the store itself."}
}

// StoreLost reports that the store no longer responds.
type StoreLost struct {
	Error error `event:"error" doc:"error of the call; \"the watcher has lost the store\" if another node reported the loss"`
}

// Kind implements Event.
func (StoreLost) Kind() Kind {
	return Kind{"store lost", slog.LevelWarn, "The node keeps serving with the last known configuration and leaves."}
}

// StoreRestored reports that the store was restored from a backup.
type StoreRestored struct {
	FormerEra      uint64 `event:"former_era" doc:"era of the store that this node followed; 0 if the store stated none"`
	FormerRevision uint64 `event:"former_revision" doc:"revision that this node had reached in it"`
	Era            uint64 `event:"era" doc:"era of the store since the restore"`
	Revision       uint64 `event:"revision" doc:"revision at which this node has read the store again"`
}

// Kind implements Event.
func (StoreRestored) Kind() Kind {
	return Kind{"store restored", slog.LevelWarn, "What was written after the backup is missing until its writers have written it again. The node keeps its configuration, and for some seconds the leaves and cordons that the store lacks."}
}

// StoreRegained reports that the store responds again.
type StoreRegained struct {
	Outage time.Duration `event:"away" doc:"how long the store did not respond"`
}

// Kind implements Event.
func (StoreRegained) Kind() Kind {
	return Kind{"store regained", slog.LevelInfo, "For some seconds, leaves whose announcement is missing are treated as doubtful and kept."}
}

// WatcherFailed reports that a node that watches the store on behalf of others gave no usable
// answer.
type WatcherFailed struct {
	Watcher netip.AddrPort `event:"watcher" doc:"address of the watcher"`
	State   string         `event:"state" doc:"answer of the watcher: lost or refused; empty if there was no answer"`
	Error   error          `event:"error" doc:"why the watcher did not answer"`
}

// Kind implements Event.
func (WatcherFailed) Kind() Kind {
	return Kind{"watcher failed", slog.LevelInfo, "This node asks another watcher or the store itself."}
}
