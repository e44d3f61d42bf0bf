package event

import (
	"log/slog"
	"time"
)

// Started reports that the process serves requests.
type Started struct {
	HTTP  string  `event:"http" doc:"address on which clients connect"`
	Zone  string  `event:"zone" doc:"zone of the node"`
	Cores float64 `event:"cores" doc:"CPU capacity that the node announces, in cores"`
	// DetectsSuspensions is false if the system clock that counts suspensions cannot be read.
	DetectsSuspensions bool `event:"sees_suspensions" doc:"whether the node can measure how long the machine was suspended; if not, validity periods end late by the length of the suspension"`
}

// Kind implements Event.
func (Started) Kind() Kind {
	return Kind{"started", slog.LevelInfo, "The process serves requests from now on."}
}

// ClientClosed reports that the connection of a caller was closed because callers occupy too much.
type ClientClosed struct {
	Bound string `event:"bound" doc:"bound that was reached: connections, or bytes of requests that are not answered yet"`
}

// Kind implements Event.
func (ClientClosed) Kind() Kind {
	return Kind{"client closed", slog.LevelInfo, "No whole request had arrived on the connection. The lines are limited in number; micaplank_frontend_clients_closed_total counts all."}
}

// Draining reports the start of a planned stop.
type Draining struct {
	InFlight int           `event:"in_flight" doc:"queries that run on this node"`
	Waiting  int           `event:"waiting" doc:"shards of these queries that wait for a leaf in the queue of the node"`
	AnswerBy time.Duration `event:"answer_by" doc:"time from now on within which each request gets its final answer"`
}

// Kind implements Event.
func (Draining) Kind() Kind {
	return Kind{"draining", slog.LevelInfo, "A planned stop has begun. The node reports that it is not ready, and keeps serving until clients have moved to other nodes."}
}

// Stopped reports the end of a planned stop.
type Stopped struct {
	Unanswered int `event:"unanswered" doc:"queries that still ran on this node, whose clients got no answer"`
}

// Kind implements Event.
func (Stopped) Kind() Kind {
	return Kind{"stopped", slog.LevelInfo, "A planned stop has completed. The process ends."}
}

// SettingsReloaded reports that the settings were read again after SIGHUP.
type SettingsReloaded struct {
	Changed bool `event:"changed" doc:"whether they differ from the settings in use; new settings take effect with a restart"`
}

// Kind implements Event.
func (SettingsReloaded) Kind() Kind {
	return Kind{"settings read again", slog.LevelInfo, "The settings were read again after the signal SIGHUP."}
}

// SettingsRejected reports that the settings read after SIGHUP are invalid.
type SettingsRejected struct {
	Error error `event:"error" doc:"why they are invalid; the settings in use stay"`
}

// Kind implements Event.
func (SettingsRejected) Kind() Kind {
	return Kind{"settings rejected", slog.LevelError, "The settings were read again and are invalid."}
}

// Failed reports the error that ends the process.
type Failed struct {
	Error error `event:"error" doc:"error that ended the process"`
}

// Kind implements Event.
func (Failed) Kind() Kind {
	return Kind{"failed", slog.LevelError, "The process exits with an error."}
}

// Resumed reports that the machine was resumed after a suspension.
type Resumed struct {
	Suspended time.Duration `event:"suspended" doc:"length of the suspension; deadlines and validity periods include it, the monotonic clock of the process does not"`
}

// Kind implements Event.
func (Resumed) Kind() Kind {
	return Kind{"woke", slog.LevelWarn, "Requests past their deadline have ended. The node keeps its view of leaves, configuration and other nodes until it hears from the store."}
}
