package event

import (
	"log/slog"
)

// NodeNotAnnounced reports that this node failed to write its announcement to the store.
type NodeNotAnnounced struct {
	Error error `event:"error" doc:"reason for the failure"`
}

// Kind implements Event.
func (NodeNotAnnounced) Kind() Kind {
	return Kind{"node not announced", slog.LevelError, "The other nodes do not count this node."}
}

// LeaseLapsed reports that the lease of this node's announcement has expired.
type LeaseLapsed struct {
	Key string `event:"key" doc:"key of the announcement"`
}

// Kind implements Event.
func (LeaseLapsed) Kind() Kind {
	return Kind{"lease lapsed", slog.LevelWarn, "The lease of the node's announcement has expired; the node announces itself again."}
}

// LeaseNotRenewed reports that renewals of the lease fail. It is logged once until a renewal
// succeeds.
type LeaseNotRenewed struct {
	Key   string `event:"key" doc:"key of the announcement"`
	Error error  `event:"error" doc:"reason for the failure"`
}

// Kind implements Event.
func (LeaseNotRenewed) Kind() Kind {
	return Kind{"lease is not renewed", slog.LevelWarn, "If no renewal succeeds, the other nodes stop counting this node after 50 s."}
}

// ExecutorsLost reports that executors no longer respond.
type ExecutorsLost struct {
	Lost int `event:"lost" doc:"number of executors lost by this event"`
	Left int `event:"left" doc:"number of executors that still respond"`
}

// Kind implements Event.
func (ExecutorsLost) Kind() Kind {
	return Kind{"executors lost", slog.LevelWarn, "A node without executors runs requests with many shards itself."}
}

// ExecutorInTouch reports that an executor responds.
type ExecutorInTouch struct {
	Peer      string `event:"peer" doc:"name of the executor"`
	Version   uint64 `event:"version" doc:"version of the executor's configuration"`
	Accepting bool   `event:"accepting" doc:"whether the executor accepts requests"`
	Fresh     bool   `event:"fresh" doc:"whether the executor has contact with the store"`
}

// Kind implements Event.
func (ExecutorInTouch) Kind() Kind {
	return Kind{"executor in touch", slog.LevelInfo, "Requests with many shards may be delegated to the executor."}
}

// CombinerLost reports that a combiner, a node in another zone, no longer responds.
type CombinerLost struct {
	Peer     string `event:"peer" doc:"name of the node"`
	InFlight int    `event:"in_flight" doc:"attempts in flight through the node; they are lost"`
}

// Kind implements Event.
func (CombinerLost) Kind() Kind {
	return Kind{"combiner lost", slog.LevelWarn, "Attempts to leaves of that zone go through another node of the zone, or directly to the leaf."}
}

// CombinerInTouch reports that a combiner, a node in another zone, responds.
type CombinerInTouch struct {
	Peer string `event:"peer" doc:"name of the node"`
	Zone string `event:"zone" doc:"zone of the node"`
}

// Kind implements Event.
func (CombinerInTouch) Kind() Kind {
	return Kind{"combiner in touch", slog.LevelInfo, "Attempts to leaves of that zone may go through the node, which reduces the parts that it returns."}
}
