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

// ConfigRejected tells that a configuration cannot be used.
type ConfigRejected struct {
	Key      string `event:"key" doc:"where it lies"`
	Revision uint64 `event:"revision" doc:"revision of the store that wrote it"`
	Error    error  `event:"error" doc:"what is wrong with it"`
}

// Message implements Event.
func (ConfigRejected) Message() string { return "configuration rejected" }

// Level implements Event.
func (ConfigRejected) Level() slog.Level { return slog.LevelError }

// Describe implements Event.
func (ConfigRejected) Describe() string { return "The last good configuration stays in force." }

// ConfigInstalled tells that a configuration is in force.
type ConfigInstalled struct {
	Version  uint64 `event:"version" doc:"its version"`
	Revision uint64 `event:"revision" doc:"revision of the store that wrote it"`
	Routes   int    `event:"routes" doc:"routes in it"`
	Services int    `event:"services" doc:"services in it"`
}

// Message implements Event.
func (ConfigInstalled) Message() string { return "configuration installed" }

// Level implements Event.
func (ConfigInstalled) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (ConfigInstalled) Describe() string {
	return "Requests are handled by this version from now on; never by an older one again."
}

// LeafChanged tells that what a leaf announces has changed.
type LeafChanged struct {
	Leaf     string         `event:"leaf" doc:"id of the leaf's incarnation"`
	Service  string         `event:"service" doc:"service that it is of; empty with a removal"`
	Address  netip.AddrPort `event:"address" doc:"where it listens"`
	Draining bool           `event:"draining" doc:"whether it gets no new work"`
	Cold     time.Duration  `event:"cold" doc:"how much longer it is cold, by its word"`
	Removed  bool           `event:"removed" doc:"whether its announcement is gone"`
	Revision uint64         `event:"revision" doc:"revision of the store"`
}

// Message implements Event.
func (LeafChanged) Message() string { return "leaf changed" }

// Level implements Event.
func (LeafChanged) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (LeafChanged) Describe() string { return "A leaf came, changed, drains or is gone." }

// ZoneCordoned tells that operators took a zone out of service, or put it back.
type ZoneCordoned struct {
	Zone     string `event:"zone" doc:"the zone"`
	Cordoned bool   `event:"cordoned" doc:"whether its leaves get no new attempts"`
	Revision uint64 `event:"revision" doc:"revision of the store; 0 if it was found when the whole of the store was read"`
}

// Message implements Event.
func (ZoneCordoned) Message() string { return "cordon changed" }

// Level implements Event.
func (ZoneCordoned) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (ZoneCordoned) Describe() string {
	return "Operators took a zone out of service, or put it back. Attempts in flight at its leaves are left to finish."
}

// LeafRejected tells that the announcement of a leaf cannot be read.
type LeafRejected struct {
	Key      string `event:"key" doc:"where it lies"`
	Revision uint64 `event:"revision" doc:"revision of the store that wrote it"`
	Error    error  `event:"error" doc:"what is wrong with it"`
}

// Message implements Event.
func (LeafRejected) Message() string { return "leaf rejected" }

// Level implements Event.
func (LeafRejected) Level() slog.Level { return slog.LevelError }

// Describe implements Event.
func (LeafRejected) Describe() string { return "What was known of the leaf stays." }

// NodeChanged tells that another node came or is gone.
type NodeChanged struct {
	Peer     string `event:"peer" doc:"name of the node"`
	Removed  bool   `event:"removed" doc:"whether its announcement is gone; it counts for 20 s more"`
	Revision uint64 `event:"revision" doc:"revision of the store"`
}

// Message implements Event.
func (NodeChanged) Message() string { return "node changed" }

// Level implements Event.
func (NodeChanged) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (NodeChanged) Describe() string {
	return "The nodes share the extra load and the connections to leaves by their number."
}

// NodeRejected tells that the announcement of a node cannot be read.
type NodeRejected struct {
	Key      string `event:"key" doc:"where it lies"`
	Revision uint64 `event:"revision" doc:"revision of the store that wrote it"`
	Error    error  `event:"error" doc:"what is wrong with it"`
}

// Message implements Event.
func (NodeRejected) Message() string { return "node rejected" }

// Level implements Event.
func (NodeRejected) Level() slog.Level { return slog.LevelWarn }

// Describe implements Event.
func (NodeRejected) Describe() string {
	return "The node counts, but nothing is known of its zone, processor and address."
}

// NodeNotAnnounced tells that this node cannot announce itself.
type NodeNotAnnounced struct {
	Error error `event:"error" doc:"why"`
}

// Message implements Event.
func (NodeNotAnnounced) Message() string { return "node not announced" }

// Level implements Event.
func (NodeNotAnnounced) Level() slog.Level { return slog.LevelError }

// Describe implements Event.
func (NodeNotAnnounced) Describe() string { return "The other nodes do not count this one." }

// LeaseLapsed tells that the lease of this node's announcement is over.
type LeaseLapsed struct {
	Key string `event:"key" doc:"the announcement"`
}

// Message implements Event.
func (LeaseLapsed) Message() string { return "lease lapsed" }

// Level implements Event.
func (LeaseLapsed) Level() slog.Level { return slog.LevelWarn }

// Describe implements Event.
func (LeaseLapsed) Describe() string { return "The node announces itself again." }

// LeaseNotRenewed tells that a call for the lease failed, once for each time.
type LeaseNotRenewed struct {
	Key   string `event:"key" doc:"the announcement"`
	Error error  `event:"error" doc:"why"`
}

// Message implements Event.
func (LeaseNotRenewed) Message() string { return "lease is not renewed" }

// Level implements Event.
func (LeaseNotRenewed) Level() slog.Level { return slog.LevelWarn }

// Describe implements Event.
func (LeaseNotRenewed) Describe() string {
	return "Without a renewal the other nodes count this one for 50 s more."
}

// ExecutorsLost tells that executors do not answer any more.
type ExecutorsLost struct {
	Lost int `event:"lost" doc:"how many were lost now"`
	Left int `event:"left" doc:"how many this node is in touch with"`
}

// Message implements Event.
func (ExecutorsLost) Message() string { return "executors lost" }

// Level implements Event.
func (ExecutorsLost) Level() slog.Level { return slog.LevelWarn }

// Describe implements Event.
func (ExecutorsLost) Describe() string {
	return "Without any, the node runs requests of many shards itself."
}

// ExecutorInTouch tells that an executor answers.
type ExecutorInTouch struct {
	Peer      string `event:"peer" doc:"name of the executor"`
	Version   uint64 `event:"version" doc:"version of its configuration"`
	Accepting bool   `event:"accepting" doc:"whether it takes requests"`
	Fresh     bool   `event:"fresh" doc:"whether it is in touch with the store"`
}

// Message implements Event.
func (ExecutorInTouch) Message() string { return "executor in touch" }

// Level implements Event.
func (ExecutorInTouch) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (ExecutorInTouch) Describe() string {
	return "Requests of many shards may be handed to it."
}

// CombinerLost tells that a node of another zone does not answer any more.
type CombinerLost struct {
	Peer     string `event:"peer" doc:"name of the node"`
	InFlight int    `event:"in_flight" doc:"attempts that it had in hand, which are lost with it"`
}

// Message implements Event.
func (CombinerLost) Message() string { return "combiner lost" }

// Level implements Event.
func (CombinerLost) Level() slog.Level { return slog.LevelWarn }

// Describe implements Event.
func (CombinerLost) Describe() string {
	return "Attempts at leaves of its zone go through another node there, or directly."
}

// CombinerInTouch tells that a node of another zone answers.
type CombinerInTouch struct {
	Peer string `event:"peer" doc:"name of the node"`
	Zone string `event:"zone" doc:"its zone"`
}

// Message implements Event.
func (CombinerInTouch) Message() string { return "combiner in touch" }

// Level implements Event.
func (CombinerInTouch) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (CombinerInTouch) Describe() string {
	return "Attempts at leaves of its zone may go through it, which thins out their parts."
}
