package event

import (
	"log/slog"
)

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
