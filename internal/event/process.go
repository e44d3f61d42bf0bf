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

// Message implements Event.
func (Started) Message() string { return "started" }

// Level implements Event.
func (Started) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (Started) Describe() string { return "A process serves from now on." }

// Draining begins a planned stop.
type Draining struct {
	InFlight int `event:"in_flight" doc:"queries that run here"`
}

// Message implements Event.
func (Draining) Message() string { return "draining" }

// Level implements Event.
func (Draining) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (Draining) Describe() string {
	return "A planned stop has begun: the node is not ready any more, and serves on until callers have moved."
}

// Stopped is the last line of a process that stopped as planned.
type Stopped struct{}

// Message implements Event.
func (Stopped) Message() string { return "stopped" }

// Level implements Event.
func (Stopped) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (Stopped) Describe() string { return "A planned stop has ended; nothing runs any more." }

// SettingsRead tells that the settings were read again.
type SettingsRead struct {
	Changed bool `event:"changed" doc:"whether they differ from those in use; a restart takes them"`
}

// Message implements Event.
func (SettingsRead) Message() string { return "settings read again" }

// Level implements Event.
func (SettingsRead) Level() slog.Level { return slog.LevelInfo }

// Describe implements Event.
func (SettingsRead) Describe() string { return "The settings were read again after a hangup signal." }

// SettingsRejected tells that settings could not be read again.
type SettingsRejected struct {
	Error error `event:"error" doc:"what is wrong; the settings in use stay"`
}

// Message implements Event.
func (SettingsRejected) Message() string { return "settings rejected" }

// Level implements Event.
func (SettingsRejected) Level() slog.Level { return slog.LevelError }

// Describe implements Event.
func (SettingsRejected) Describe() string {
	return "The settings were to be read again and could not be used."
}

// Failed is the last line of a process that ends by an error.
type Failed struct {
	Error error `event:"error" doc:"why it ends"`
}

// Message implements Event.
func (Failed) Message() string { return "failed" }

// Level implements Event.
func (Failed) Level() slog.Level { return slog.LevelError }

// Describe implements Event.
func (Failed) Describe() string { return "The process ends with an error." }

// Woke tells that the machine was suspended.
type Woke struct {
	Suspended time.Duration `event:"suspended" doc:"for how long; the steady clock does not count it, deadlines and terms do"`
}

// Message implements Event.
func (Woke) Message() string { return "woke" }

// Level implements Event.
func (Woke) Level() slog.Level { return slog.LevelWarn }

// Describe implements Event.
func (Woke) Describe() string {
	return "Requests whose time is over have ended; leaves, configuration and other nodes are as they were known before, until the store is heard."
}
