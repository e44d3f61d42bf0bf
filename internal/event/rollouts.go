package event

import (
	"log/slog"
	"time"
)

// RolloutOrdered reports that an operator ordered a rollout or withdrew the order.
type RolloutOrdered struct {
	Service   string        `event:"service" doc:"service that is rolled out"`
	Target    string        `event:"target" doc:"version to which the traffic moves"`
	Duration  time.Duration `event:"duration" doc:"time from the order to its deadline"`
	Withdrawn bool          `event:"withdrawn" doc:"whether the order was withdrawn"`
	Repeated  bool          `event:"repeated" doc:"whether it is the order in force, which a restored store holds under this revision"`
	Era       uint64        `event:"era" doc:"era of the store, which rises with each restore from a backup"`
	Revision  uint64        `event:"revision" doc:"revision of the store"`
}

// Kind implements Event.
func (RolloutOrdered) Kind() Kind {
	return Kind{"roll-out ordered", slog.LevelInfo, "Leaves of the version get only the traffic that the exposure limit allows, until the roll-out shifts the traffic. If the order was withdrawn, a roll-out in progress is rolled back."}
}

// RolloutRejected reports that the order or the record of a rollout is invalid.
type RolloutRejected struct {
	Key      string `event:"key" doc:"key in the store"`
	Revision uint64 `event:"revision" doc:"revision of the store at which it was written"`
	Error    error  `event:"error" doc:"why it is invalid"`
}

// Kind implements Event.
func (RolloutRejected) Kind() Kind {
	return Kind{"roll-out rejected", slog.LevelError, "The last valid state of the roll-out stays in force."}
}

// RolloutChanged reports that this node applies another phase of a rollout.
type RolloutChanged struct {
	Service string        `event:"service" doc:"service that is rolled out"`
	Target  string        `event:"target" doc:"version that is rolled out"`
	Phase   string        `event:"phase" doc:"trial (few attempts go to the version), burst (all attempts go to it for a short time), shift (leaves of other versions get no new attempts), completed or rolled_back"`
	Reason  string        `event:"reason" doc:"reason for the decision, with the counts"`
	Age     time.Duration `event:"age" doc:"time since the order"`
	Order   uint64        `event:"order" doc:"revision of the store at which it was ordered"`
}

// Kind implements Event.
func (RolloutChanged) Kind() Kind {
	return Kind{"roll-out changed", slog.LevelInfo, "The node applies this phase from now on. Each node logs the event when it learns the phase, from the store or from the decider."}
}

// RolloutDecided reports that this node, the decider, wrote a phase of a rollout or failed to.
type RolloutDecided struct {
	Service  string `event:"service" doc:"service that is rolled out"`
	Target   string `event:"target" doc:"version that is rolled out"`
	Phase    string `event:"phase" doc:"phase, as in the event \"roll-out changed\""`
	Reason   string `event:"reason" doc:"reason for the decision, with the counts"`
	Nodes    int    `event:"nodes" doc:"number of nodes whose counts the decision is based on"`
	Revision uint64 `event:"revision" doc:"revision of the store at which the phase was written; 0 if the write failed"`
	Error    error  `event:"error" doc:"why the write failed or its result is unknown; the write is retried"`
}

// Kind implements Event.
func (e RolloutDecided) Kind() Kind {
	level := slog.LevelInfo
	if e.Error != nil {
		level = slog.LevelWarn
	}
	return Kind{"roll-out decided", level, "This node is the decider of roll-outs and has written a phase or tried to write it."}
}

// DeciderChanged reports that this node sends its counts to another decider.
type DeciderChanged struct {
	Peer   string `event:"peer" doc:"name of the new decider"`
	Former string `event:"former" doc:"name of the previous decider; empty if there was none"`
	Error  error  `event:"error" doc:"error of the call to the previous decider; empty if the previous decider cannot write to the store"`
}

// Kind implements Event.
func (DeciderChanged) Kind() Kind {
	return Kind{"decider changed", slog.LevelInfo, "The decider collects the counts of all nodes while roll-outs are in progress."}
}
