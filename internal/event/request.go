package event

import "log/slog"

// Request is the end of one request at one node.
type Request struct {
	RequestID    string    `event:"request_id" doc:"the client's id of this attempt of its own"`
	Content      string    `event:"content" doc:"what it asks, as a hash of host, request line and body: the same for each try of the same request, by any client at any node"`
	Route        string    `event:"route" doc:"route that it matched; empty without one"`
	Version      uint64    `event:"version" doc:"version of the configuration that it ran under"`
	Fate         string    `event:"fate" doc:"answered (by one leaf), merged (from parts), no_route, not_run (it ran nowhere and never will), late, or failed (it may have run)"`
	Reason       string    `event:"reason" doc:"why it ended so; empty if all its shards answered"`
	Answered     int       `event:"answered" doc:"shards that answered"`
	Total        int       `event:"total" doc:"shards asked"`
	Status       int       `event:"status" doc:"status of the leaf's answer, with the fate answered"`
	TookMS       int64     `event:"took_ms" doc:"time from the whole request to its end, in ms"`
	PatienceMS   int64     `event:"patience_ms" doc:"time that the client still waited when the request came, in ms; 0 if it did not say"`
	RetryAfterMS int64     `event:"retry_after_ms" doc:"when the client may come again, in ms, with the fate not_run"`
	From         string    `event:"from" doc:"node that took the request from its client"`
	Executor     string    `event:"executor" doc:"node that ran it; empty if that is the node of the line, whose attempts then follow"`
	Attempts     []Attempt `event:"attempts" doc:"attempts at leaves that explain the end: all of a request to one leaf; of many shards the extra ones and those that brought no part, 24 at most"`

	level slog.Level
}

// Kind implements Event.
func (r Request) Kind() Kind {
	return Kind{"request", r.level, "Level warn if the client got no answer, info otherwise. A request that was handed to another node has a line at both."}
}

// WithLevel returns the event with a level.
func (r Request) WithLevel(level slog.Level) Request {
	r.level = level
	return r
}

// Attempt is one attempt at a leaf, in the field attempts of a Request.
type Attempt struct {
	Shard    int     `json:"shard" event:"shard" doc:"number of the service, in the order in which this process met them"`
	Leaf     string  `json:"leaf" event:"leaf" doc:"id of the leaf's incarnation"`
	Address  string  `json:"address" event:"address" doc:"where it listens"`
	Cause    string  `json:"cause" event:"cause" doc:"needed, resend (the former did not execute), hedge, probe, retry or restart"`
	AtMS     int64   `json:"at_ms" event:"at_ms" doc:"when it was sent, in ms from the start of the request"`
	TookMS   int64   `json:"took_ms" event:"took_ms" doc:"how long it took, in ms; 0 if it was open at the end"`
	End      string  `json:"end" event:"end" doc:"answered, refused, failed (the leaf's own failure), lost (it may have run), unsent, or open"`
	Closed   bool    `json:"closed,omitempty" event:"closed" doc:"whether the leaf closed or reset the connection before a byte of its answer, as when its process ends; left out if not"`
	Detail   string  `json:"detail,omitempty" event:"detail" doc:"the error or the refusal"`
	InFlight int     `json:"in_flight" event:"in_flight" doc:"attempts of this node at the leaf before it"`
	Limit    int     `json:"limit" event:"limit" doc:"most attempts of this node at the leaf"`
	Others   float64 `json:"others" event:"others" doc:"attempts of other nodes at the leaf, as estimated"`
	AgeMS    int64   `json:"age_ms" event:"age_ms" doc:"age of the leaf's word behind that estimate, in ms"`
	Pace     int     `json:"pace,omitempty" event:"pace" doc:"how long work takes on the leaf's machine by that word, in percent of the usual; left out if it tells none"`
	Slowness float64 `json:"slowness" event:"slowness" doc:"how slow the leaf is, 1 being as expected"`
	Budget   float64 `json:"budget" event:"budget" doc:"extra attempts that the shard's budget held, before this one"`
}

// RequestLost reports that a request is lost with the node that ran it.
type RequestLost struct {
	RequestID string `event:"request_id" doc:"the client's id of this attempt of its own"`
	Executor  string `event:"executor" doc:"node that ran it"`
	Error     error  `event:"error" doc:"how it was lost"`
}

// Kind implements Event.
func (RequestLost) Kind() Kind {
	return Kind{"request lost with its executor", slog.LevelWarn, "It may have run, so it is not run again; its client may send it again."}
}
