package event

import (
	"log/slog"
	"time"
)

// RolloutOrdered reports that an operator ordered a roll-out, or withdrew the order.
type RolloutOrdered struct {
	Service   string        `event:"service" doc:"service that it is of"`
	Version   string        `event:"target" doc:"version that the traffic shall move to"`
	Duration  time.Duration `event:"duration" doc:"time from the order to its deadline"`
	Withdrawn bool          `event:"withdrawn" doc:"whether the order is gone"`
	Revision  uint64        `event:"revision" doc:"revision of the store"`
}

// Kind implements Event.
func (RolloutOrdered) Kind() Kind {
	return Kind{"roll-out ordered", slog.LevelInfo, "Leaves of the version get only what the exposure allows, until the roll-out shifts the traffic. If the order is gone, what was begun is rolled back."}
}

// RolloutRejected reports that an order, or a record, of a roll-out cannot be read.
type RolloutRejected struct {
	Key      string `event:"key" doc:"where it lies"`
	Revision uint64 `event:"revision" doc:"revision of the store that wrote it"`
	Error    error  `event:"error" doc:"what is wrong with it"`
}

// Kind implements Event.
func (RolloutRejected) Kind() Kind {
	return Kind{"roll-out rejected", slog.LevelError, "What was known of the roll-out stays."}
}

// RolloutChanged reports that a roll-out has entered another phase.
type RolloutChanged struct {
	Service string        `event:"service" doc:"service that it is of"`
	Version string        `event:"target" doc:"version that is rolled out"`
	Phase   string        `event:"phase" doc:"trial (few attempts go to the version), burst (all of them, for a moment), shift (other leaves get no new ones), completed or rolled_back"`
	Reason  string        `event:"reason" doc:"what decided it, with the counts"`
	Age     time.Duration `event:"age" doc:"time since the order"`
	Order   uint64        `event:"order" doc:"revision of the store at which it was ordered"`
}

// Kind implements Event.
func (RolloutChanged) Kind() Kind {
	return Kind{"roll-out changed", slog.LevelInfo, "The node goes by this phase from now on. Each node writes the line when it hears of the phase, from the store or from the node that decides."}
}

// RolloutDecided reports that this node has written a phase of a roll-out.
type RolloutDecided struct {
	Service  string `event:"service" doc:"service that it is of"`
	Version  string `event:"target" doc:"version that is rolled out"`
	Phase    string `event:"phase" doc:"the phase, as in the line on its change"`
	Reason   string `event:"reason" doc:"what decided it, with the counts"`
	Nodes    int    `event:"nodes" doc:"nodes whose counts it rests on"`
	Revision uint64 `event:"revision" doc:"revision of the store that has it; 0 if it was not written"`
	Error    error  `event:"error" doc:"why it was not written, or is not known to be; it is tried again"`
}

// Kind implements Event.
func (e RolloutDecided) Kind() Kind {
	level := slog.LevelInfo
	if e.Error != nil {
		level = slog.LevelWarn
	}
	return Kind{"roll-out decided", level, "This node decides on roll-outs, and has written a step, or tried to."}
}

// RolloutDecider reports that this node reports to another decider.
type RolloutDecider struct {
	Peer   string `event:"peer" doc:"name of the node that decides from now on"`
	Former string `event:"former" doc:"name of the one before; empty without one"`
	Error  error  `event:"error" doc:"how the call to the former one failed; empty if it cannot write to the store"`
}

// Kind implements Event.
func (RolloutDecider) Kind() Kind {
	return Kind{"decider changed", slog.LevelInfo, "The node that gathers the counts of all nodes, while there are roll-outs."}
}
