package event

import (
	"fmt"
	"log/slog"
)

// RequestSuspected reports that leaves ended under a request that has no answer.
type RequestSuspected struct {
	Content fmt.Stringer `event:"content" doc:"what it asks, as in the line on the request"`
	Route   string       `event:"route" doc:"its route"`
	Leaves  []string     `event:"leaves" doc:"incarnations that ended under it"`
}

// Kind implements Event.
func (RequestSuspected) Kind() Kind {
	return Kind{"request suspected", slog.LevelWarn, "The other nodes are told. Once enough leaves ended under it, it is tried on one alone; an answer of any leaf clears it."}
}

// RequestTried reports that a leaf ended under a request that was tried on it alone.
type RequestTried struct {
	Content fmt.Stringer `event:"content" doc:"what it asks, as in the line on the request"`
	Route   string       `event:"route" doc:"its route"`
	Leaf    string       `event:"leaf" doc:"incarnation that ended"`
	Trials  int          `event:"trials" doc:"trials so far, by all nodes"`
	Chance  float64      `event:"chance" doc:"share of the runs of other requests at the service that end so, 0.05 at least"`
	Odds    float64      `event:"odds" doc:"how many times likelier the ends of the trials are if it ends leaves than if they ended by themselves"`
}

// Kind implements Event.
func (RequestTried) Kind() Kind {
	return Kind{"request tried", slog.LevelWarn, "It is held after two such trials, if their odds are 100 or more."}
}

// RequestHeld reports that a request gets no leaf from now on.
type RequestHeld struct {
	Content  fmt.Stringer `event:"content" doc:"what it asks, as in the line on the request"`
	Route    string       `event:"route" doc:"its route"`
	Leaves   []string     `event:"leaves" doc:"incarnations that ended under it, 8 at most"`
	Trials   int          `event:"trials" doc:"trials, by all nodes"`
	Odds     float64      `event:"odds" doc:"how many times likelier the ends of the trials are if it ends leaves than if they ended by themselves"`
	Revision uint64       `event:"revision" doc:"revision of the store that said so; 0 if this node decided it and has not written it yet"`
}

// Kind implements Event.
func (RequestHeld) Kind() Kind {
	return Kind{"request held", slog.LevelError, "It is refused at once, at all nodes, for 5 to 10 minutes; then it is tried on one leaf first."}
}

// RequestReleased reports that a request is not held any more.
type RequestReleased struct {
	Content fmt.Stringer `event:"content" doc:"what it asks, as in the line on the request"`
}

// Kind implements Event.
func (RequestReleased) Kind() Kind {
	return Kind{"request released", slog.LevelInfo, "Its time is over, an operator took its key out of the store, or leaves that were said to have ended under it lived on (leaf survived). Unless that leaves too few of them, it is tried on one leaf before it may run as usual."}
}

// LeafSurvived reports that a leaf lived on which was said to have ended under a request.
type LeafSurvived struct {
	Content fmt.Stringer `event:"content" doc:"what the request asks, as in the line on the request"`
	Route   string       `event:"route" doc:"its route"`
	Leaf    string       `event:"leaf" doc:"incarnation that lived on"`
}

// Kind implements Event.
func (LeafSurvived) Kind() Kind {
	return Kind{"leaf survived", slog.LevelInfo, "It answered after its connections were lost, or is still announced after three heartbeats and 3 s: they were reset on the way. It counts against the request no more."}
}

// QuarantineNotWritten reports that the store did not take what is known of a request.
type QuarantineNotWritten struct {
	Content fmt.Stringer `event:"content" doc:"what it asks, as in the line on the request"`
	Error   error        `event:"error" doc:"how the call failed"`
}

// Kind implements Event.
func (QuarantineNotWritten) Kind() Kind {
	return Kind{"quarantine not written", slog.LevelWarn, "This node goes by what it knows; it writes it again after a pause of 3 s at most."}
}

// QuarantineRejected reports that a record of a request cannot be read.
type QuarantineRejected struct {
	Key      string `event:"key" doc:"where it lies"`
	Revision uint64 `event:"revision" doc:"revision of the store that wrote it"`
	Error    error  `event:"error" doc:"what is wrong with it"`
}

// Kind implements Event.
func (QuarantineRejected) Kind() Kind {
	return Kind{"quarantine rejected", slog.LevelError, "What was known of the request stays."}
}
