package event

import (
	"log/slog"
	"time"
)

// Started is the first line of a process that serves.
type Started struct {
	HTTP  string  `event:"http" doc:"address for callers"`
	Zone  string  `event:"zone" doc:"zone of the node"`
	Cores float64 `event:"cores" doc:"processor that the node announces, in cores"`
	// SeesSuspensions is false where the machine does not tell of them.
	SeesSuspensions bool `event:"sees_suspensions" doc:"whether the machine tells how long it was suspended; if not, terms are late by that after it"`
}

// Kind implements Event.
func (Started) Kind() Kind {
	return Kind{"started", slog.LevelInfo, "A process serves from now on."}
}

// Draining begins a planned stop.
type Draining struct {
	InFlight int `event:"in_flight" doc:"queries that run here"`
}

// Kind implements Event.
func (Draining) Kind() Kind {
	return Kind{"draining", slog.LevelInfo, "A planned stop has begun: the node is not ready any more, and serves on until callers have moved."}
}

// Stopped is the last line of a process that stopped as planned.
type Stopped struct{}

// Kind implements Event.
func (Stopped) Kind() Kind {
	return Kind{"stopped", slog.LevelInfo, "A planned stop has ended; nothing runs any more."}
}

// SettingsRead reports that the settings were read again.
type SettingsRead struct {
	Changed bool `event:"changed" doc:"whether they differ from those in use; a restart takes them"`
}

// Kind implements Event.
func (SettingsRead) Kind() Kind {
	return Kind{"settings read again", slog.LevelInfo, "The settings were read again after a hangup signal."}
}

// SettingsRejected reports that settings could not be read again.
type SettingsRejected struct {
	Error error `event:"error" doc:"what is wrong; the settings in use stay"`
}

// Kind implements Event.
func (SettingsRejected) Kind() Kind {
	return Kind{"settings rejected", slog.LevelError, "The settings were to be read again and could not be used."}
}

// Failed is the last line of a process that ends by an error.
type Failed struct {
	Error error `event:"error" doc:"why it ends"`
}

// Kind implements Event.
func (Failed) Kind() Kind {
	return Kind{"failed", slog.LevelError, "The process ends with an error."}
}

// Woke reports that the machine was suspended.
type Woke struct {
	Suspended time.Duration `event:"suspended" doc:"for how long; the steady clock does not count it, deadlines and terms do"`
}

// Kind implements Event.
func (Woke) Kind() Kind {
	return Kind{"woke", slog.LevelWarn, "Requests whose time is over have ended; leaves, configuration and other nodes are as they were known before, until the store is heard."}
}
