package event

import (
	"log/slog"
)

// NodeNotAnnounced reports that this node cannot announce itself.
type NodeNotAnnounced struct {
	Error error `event:"error" doc:"why"`
}

// Kind implements Event.
func (NodeNotAnnounced) Kind() Kind {
	return Kind{"node not announced", slog.LevelError, "The other nodes do not count this one."}
}

// LeaseLapsed reports that the lease of this node's announcement is over.
type LeaseLapsed struct {
	Key string `event:"key" doc:"the announcement"`
}

// Kind implements Event.
func (LeaseLapsed) Kind() Kind {
	return Kind{"lease lapsed", slog.LevelWarn, "The node announces itself again."}
}

// LeaseNotRenewed reports that a call for the lease failed, once for each time.
type LeaseNotRenewed struct {
	Key   string `event:"key" doc:"the announcement"`
	Error error  `event:"error" doc:"why"`
}

// Kind implements Event.
func (LeaseNotRenewed) Kind() Kind {
	return Kind{"lease is not renewed", slog.LevelWarn, "Without a renewal the other nodes count this one for 50 s more."}
}

// ExecutorsLost reports that executors do not answer any more.
type ExecutorsLost struct {
	Lost int `event:"lost" doc:"how many were lost now"`
	Left int `event:"left" doc:"how many this node is in touch with"`
}

// Kind implements Event.
func (ExecutorsLost) Kind() Kind {
	return Kind{"executors lost", slog.LevelWarn, "Without any, the node runs requests of many shards itself."}
}

// ExecutorInTouch reports that an executor answers.
type ExecutorInTouch struct {
	Peer      string `event:"peer" doc:"name of the executor"`
	Version   uint64 `event:"version" doc:"version of its configuration"`
	Accepting bool   `event:"accepting" doc:"whether it takes requests"`
	Fresh     bool   `event:"fresh" doc:"whether it is in touch with the store"`
}

// Kind implements Event.
func (ExecutorInTouch) Kind() Kind {
	return Kind{"executor in touch", slog.LevelInfo, "Requests of many shards may be handed to it."}
}

// CombinerLost reports that a node of another zone does not answer any more.
type CombinerLost struct {
	Peer     string `event:"peer" doc:"name of the node"`
	InFlight int    `event:"in_flight" doc:"attempts that it had in hand, which are lost with it"`
}

// Kind implements Event.
func (CombinerLost) Kind() Kind {
	return Kind{"combiner lost", slog.LevelWarn, "Attempts at leaves of its zone go through another node there, or directly."}
}

// CombinerInTouch reports that a node of another zone answers.
type CombinerInTouch struct {
	Peer string `event:"peer" doc:"name of the node"`
	Zone string `event:"zone" doc:"its zone"`
}

// Kind implements Event.
func (CombinerInTouch) Kind() Kind {
	return Kind{"combiner in touch", slog.LevelInfo, "Attempts at leaves of its zone may go through it, which thins out their parts."}
}
