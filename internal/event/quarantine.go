package event

import (
	"fmt"
	"log/slog"
)

// RequestSuspected tells that leaves ended under a request that has no answer.
type RequestSuspected struct {
	Content fmt.Stringer `event:"content" doc:"what it asks, as in the line on the request"`
	Route   string       `event:"route" doc:"its route"`
	Leaves  []string     `event:"leaves" doc:"incarnations that ended under it"`
}

// Message implements Event.
func (RequestSuspected) Message() string { return "request suspected" }

// Level implements Event.
func (RequestSuspected) Level() slog.Level { return slog.LevelWarn }

// Describe implements Event.
func (RequestSuspected) Describe() string {
	return "The other nodes are told. Once enough leaves ended under it, it is tried on one alone; an answer of any leaf clears it."
}

// RequestTried tells that a leaf ended under a request that was tried on it alone.
type RequestTried struct {
	Content fmt.Stringer `event:"content" doc:"what it asks, as in the line on the request"`
	Route   string       `event:"route" doc:"its route"`
	Leaf    string       `event:"leaf" doc:"incarnation that ended"`
	Trials  int          `event:"trials" doc:"trials so far, by all nodes"`
	Chance  float64      `event:"chance" doc:"share of the runs of other requests at the service that end so, 0.05 at least"`
	Odds    float64      `event:"odds" doc:"how many times likelier the ends of the trials are if it ends leaves than if they ended by themselves"`
}

// Message implements Event.
func (RequestTried) Message() string { return "request tried" }

// Level implements Event.
func (RequestTried) Level() slog.Level { return slog.LevelWarn }

// Describe implements Event.
func (RequestTried) Describe() string {
	return "It is held after two such trials, if their odds are 100 or more."
}

// RequestHeld tells that a request gets no leaf from now on.
type RequestHeld struct {
	Content  fmt.Stringer `event:"content" doc:"what it asks, as in the line on the request"`
	Route    string       `event:"route" doc:"its route"`
	Leaves   []string     `event:"leaves" doc:"incarnations that ended under it, 8 at most"`
	Trials   int          `event:"trials" doc:"trials, by all nodes"`
	Odds     float64      `event:"odds" doc:"how many times likelier the ends of the trials are if it ends leaves than if they ended by themselves"`
	Revision uint64       `event:"revision" doc:"revision of the store that said so; 0 if this node decided it and has not written it yet"`
}

// Message implements Event.
func (RequestHeld) Message() string { return "request held" }

// Level implements Event.
func (RequestHeld) Level() slog.Level { return slog.LevelError }

// Describe implements Event.
func (RequestHeld) Describe() string {
	return "It is refused at once, at all nodes, for 5 to 10 minutes; then it is tried on one leaf first."
}

// RequestReleased tells that a request is not held any more.
type RequestReleased struct {
	Content fmt.Stringer `event:"content" doc:"what it asks, as in the line on the request"`
}

// Message implements Event.
func (RequestReleased) Message() string { return "request released" }

// Level implements Event.
func (RequestReleased) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (RequestReleased) Describe() string {
	return "Its time is over, or an operator took its key out of the store. It is tried on one leaf before it may run as usual."
}

// QuarantineNotWritten tells that the store did not take what is known of a request.
type QuarantineNotWritten struct {
	Content fmt.Stringer `event:"content" doc:"what it asks, as in the line on the request"`
	Error   error        `event:"error" doc:"how the call failed"`
}

// Message implements Event.
func (QuarantineNotWritten) Message() string { return "quarantine not written" }

// Level implements Event.
func (QuarantineNotWritten) Level() slog.Level { return slog.LevelWarn }

// Describe implements Event.
func (QuarantineNotWritten) Describe() string {
	return "This node goes by what it knows; it writes it again after a pause of 3 s at most."
}

// QuarantineRejected tells that a record of a request cannot be read.
type QuarantineRejected struct {
	Key      string `event:"key" doc:"where it lies"`
	Revision uint64 `event:"revision" doc:"revision of the store that wrote it"`
	Error    error  `event:"error" doc:"what is wrong with it"`
}

// Message implements Event.
func (QuarantineRejected) Message() string { return "quarantine rejected" }

// Level implements Event.
func (QuarantineRejected) Level() slog.Level { return slog.LevelError }

// Describe implements Event.
func (QuarantineRejected) Describe() string { return "What was known of the request stays." }
