package event

import "log/slog"

// Request reports the end of a request on a node.
type Request struct {
	RequestID    string    `event:"request_id" doc:"id that the client gave to this attempt"`
	Content      string    `event:"content" doc:"hash of host, request line and body; equal for every attempt of the same request, from any client and on any node"`
	Route        string    `event:"route" doc:"route that matched; empty if none did"`
	Version      uint64    `event:"version" doc:"version of the configuration that the request ran with"`
	Fate         string    `event:"fate" doc:"answered (by one leaf), merged (from the parts of shards), no_route, not_run (no leaf ran it or will run it), late, or failed (a leaf may have run it)"`
	Reason       string    `event:"reason" doc:"reason for the fate; empty if all shards answered"`
	Answered     int       `event:"answered" doc:"shards that answered"`
	Total        int       `event:"total" doc:"shards of the request"`
	Status       int       `event:"status" doc:"HTTP status of the leaf's answer, if the fate is answered"`
	TookMS       int64     `event:"took_ms" doc:"time from receiving the whole request to its end, in ms"`
	PatienceMS   int64     `event:"patience_ms" doc:"remaining time of the client when the request arrived, in ms; 0 if the client gave none"`
	RetryAfterMS int64     `event:"retry_after_ms" doc:"time after which the client may retry, in ms, if the fate is not_run"`
	From         string    `event:"from" doc:"node that received the request from the client"`
	Executor     string    `event:"executor" doc:"node that ran the request; empty if it is the node of this line, which then lists its attempts"`
	Attempts     []Attempt `event:"attempts" doc:"attempts that explain the end: all attempts of a request to one leaf; for a request to many shards the extra attempts and those that returned no part, at most 24"`

	level slog.Level
}

// Kind implements Event.
func (r Request) Kind() Kind {
	return Kind{"request", r.level, "The level is warn if the client got no answer, and info otherwise. A request that was delegated to another node is logged by both nodes."}
}

// WithLevel returns a copy of the event that is logged at the given level.
func (r Request) WithLevel(level slog.Level) Request {
	r.level = level
	return r
}

// Attempt describes an attempt to a leaf in the field Attempts of a Request.
type Attempt struct {
	Shard    int     `json:"shard" event:"shard" doc:"number that this process gave to the service of the shard, in order of first use"`
	Leaf     string  `json:"leaf" event:"leaf" doc:"id of the leaf's incarnation"`
	Address  string  `json:"address" event:"address" doc:"address of the leaf"`
	Cause    string  `json:"cause" event:"cause" doc:"needed, resend (the previous attempt was not executed), hedge, probe, retry or restart"`
	AtMS     int64   `json:"at_ms" event:"at_ms" doc:"send time, in ms since the start of the request"`
	TookMS   int64   `json:"took_ms" event:"took_ms" doc:"duration in ms; 0 if the attempt was open at the end of the request"`
	End      string  `json:"end" event:"end" doc:"answered, refused, failed (the leaf reported a failure), lost (the leaf may have run it), unsent, or open"`
	Closed   bool    `json:"closed,omitempty" event:"closed" doc:"true if the leaf closed or reset the connection before the first byte of its answer, as it happens when the process of the leaf ends; omitted if false"`
	Detail   string  `json:"detail,omitempty" event:"detail" doc:"error or refusal"`
	ConnPort int     `json:"conn_port,omitempty" event:"conn_port" doc:"port at this node of the connection to the leaf; omitted if unknown"`
	ConnSent int     `json:"conn_sent,omitempty" event:"conn_sent" doc:"number of the attempt on that connection, from 1"`
	Skipped  int     `json:"skipped,omitempty" event:"skipped" doc:"responses to other requests that arrived on that connection in place of the answer; omitted if none"`
	InFlight int     `json:"in_flight" event:"in_flight" doc:"attempts from this node in flight to the leaf before this attempt"`
	Limit    int     `json:"limit" event:"limit" doc:"limit of concurrent attempts from this node to the leaf"`
	Others   float64 `json:"others" event:"others" doc:"estimated attempts from other nodes in flight to the leaf"`
	AgeMS    int64   `json:"age_ms" event:"age_ms" doc:"age of the leaf's load report behind that estimate, in ms"`
	Pace     int     `json:"pace,omitempty" event:"pace" doc:"how long work takes on the leaf's machine according to that report, in percent of the usual time; omitted if the report has no pace"`
	Slowness float64 `json:"slowness" event:"slowness" doc:"slowness of the leaf relative to an ordinary leaf; 1 is as expected"`
	Budget   float64 `json:"budget" event:"budget" doc:"extra attempts that were left in the shard's budget before this attempt"`
}

// RequestLost reports that the executor of a request was lost before it answered.
type RequestLost struct {
	RequestID string `event:"request_id" doc:"id that the client gave to this attempt"`
	Executor  string `event:"executor" doc:"node that ran the request"`
	Error     error  `event:"error" doc:"error that reported the loss"`
}

// Kind implements Event.
func (RequestLost) Kind() Kind {
	return Kind{"request lost with its executor", slog.LevelWarn, "Leaves may have run the request, so the node does not run it again. The client may retry."}
}
