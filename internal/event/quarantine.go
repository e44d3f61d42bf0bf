package event

import (
	"fmt"
	"log/slog"
)

// RequestSuspected reports that leaves ended while they ran a request, and that no leaf answered
// the request.
type RequestSuspected struct {
	Content fmt.Stringer `event:"content" doc:"hash of the request, as in the event \"request\""`
	Route   string       `event:"route" doc:"route of the request"`
	Leaves  []string     `event:"leaves" doc:"incarnations that ended while they ran the request"`
}

// Kind implements Event.
func (RequestSuspected) Kind() Kind {
	return Kind{"request suspected", slog.LevelWarn, "The other nodes are informed. Once enough leaves have ended while they ran the request, it is tried on a single leaf. An answer from any leaf clears the request."}
}

// TrialFailed reports that a trial, the run of a suspected request on a single leaf, ended the
// leaf.
type TrialFailed struct {
	Content fmt.Stringer `event:"content" doc:"hash of the request, as in the event \"request\""`
	Route   string       `event:"route" doc:"route of the request"`
	Leaf    string       `event:"leaf" doc:"incarnation that ended"`
	Trials  int          `event:"trials" doc:"trials so far, on all nodes"`
	Chance  float64      `event:"chance" doc:"share of the runs of other requests of the service that end a leaf, at least 0.05"`
	Odds    float64      `event:"odds" doc:"likelihood ratio of the outcomes of the trials: the request ends leaves, against leaves that end independently of it"`
}

// Kind implements Event.
func (TrialFailed) Kind() Kind {
	return Kind{"request tried", slog.LevelWarn, "The request is held after two such trials if their odds are at least 100."}
}

// RequestHeld reports that a request is quarantined: no leaf runs it.
type RequestHeld struct {
	Content  fmt.Stringer `event:"content" doc:"hash of the request, as in the event \"request\""`
	Route    string       `event:"route" doc:"route of the request"`
	Leaves   []string     `event:"leaves" doc:"incarnations that ended while they ran the request, at most 8"`
	Trials   int          `event:"trials" doc:"trials on all nodes"`
	Odds     float64      `event:"odds" doc:"likelihood ratio of the outcomes of the trials: the request ends leaves, against leaves that end independently of it"`
	Revision uint64       `event:"revision" doc:"revision of the store at which the decision was written; 0 if this node decided and has not written the decision yet"`
}

// Kind implements Event.
func (RequestHeld) Kind() Kind {
	return Kind{"request held", slog.LevelError, "All nodes refuse the request immediately for 5 to 10 minutes. Then it is tried on a single leaf first."}
}

// RequestReleased reports that a request is no longer held.
type RequestReleased struct {
	Content fmt.Stringer `event:"content" doc:"hash of the request, as in the event \"request\""`
}

// Kind implements Event.
func (RequestReleased) Kind() Kind {
	return Kind{"request released", slog.LevelInfo, "The hold expired, an operator deleted the key of the request from the store, or leaves that were reported as ended survived (event \"leaf survived\"). The request is tried on a single leaf before it runs normally again, unless too few ended leaves remain."}
}

// LeafSurvived reports that a leaf survived which was reported as ended by a request.
type LeafSurvived struct {
	Content fmt.Stringer `event:"content" doc:"hash of the request, as in the event \"request\""`
	Route   string       `event:"route" doc:"route of the request"`
	Leaf    string       `event:"leaf" doc:"incarnation that survived"`
}

// Kind implements Event.
func (LeafSurvived) Kind() Kind {
	return Kind{"leaf survived", slog.LevelInfo, "The leaf answered after its connections were lost, or is still announced after three heartbeats and 3 s: its connections were reset by the network. The leaf no longer counts against the request."}
}

// QuarantineNotWritten reports that a write of the quarantine record of a request failed.
type QuarantineNotWritten struct {
	Content fmt.Stringer `event:"content" doc:"hash of the request, as in the event \"request\""`
	Error   error        `event:"error" doc:"error of the call"`
}

// Kind implements Event.
func (QuarantineNotWritten) Kind() Kind {
	return Kind{"quarantine not written", slog.LevelWarn, "This node applies its own record, and retries the write after at most 3 s."}
}

// QuarantineRejected reports that the quarantine record of a request is invalid.
type QuarantineRejected struct {
	Key      string `event:"key" doc:"key in the store"`
	Revision uint64 `event:"revision" doc:"revision of the store at which it was written"`
	Error    error  `event:"error" doc:"why it is invalid"`
}

// Kind implements Event.
func (QuarantineRejected) Kind() Kind {
	return Kind{"quarantine rejected", slog.LevelError, "The last valid record of the request stays in force."}
}
