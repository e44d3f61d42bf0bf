// Package telemetry sets up logs and metrics for every program: slog with a
// fixed order of attributes, bounds on the rate of lines and on a slow reader,
// the attributes of errors, and a Prometheus registry that can list its metrics.
// It relies on no other package of this module.
package telemetry

import (
	"io"
	"log/slog"
	"strings"

	"github.com/samber/oops"
)

// Format is how log lines are written.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Names of the attributes that log lines and errors share.
const (
	AttributeNode      = "node"
	AttributePeer      = "peer"
	AttributeStep      = "step"
	AttributeRequestID = "request_id"
	AttributeError     = "error"
)

// LogConfig says how the log is written. The zero value is text at level info.
type LogConfig struct {
	Format Format
	// Level is debug, info, warn or error; info if it is none of them.
	Level string
}

// NewLogger returns a logger whose lines carry the node's name, if there is
// one, before their own attributes. The writer must take whole lines.
func NewLogger(writer io.Writer, config LogConfig, node string) *slog.Logger {
	options := &slog.HandlerOptions{Level: parseLevel(config.Level)}
	var handler slog.Handler = slog.NewTextHandler(writer, options)
	if config.Format == FormatJSON {
		handler = slog.NewJSONHandler(writer, options)
	}
	logger := slog.New(newOrderingHandler(handler))
	if node == "" {
		return logger
	}
	return logger.With(AttributeNode, node)
}

func parseLevel(name string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(strings.ToUpper(name))); err != nil {
		return slog.LevelInfo
	}
	return level
}

// Error returns the attributes of an error: step and peer, as far as it
// carries them, and its text last. Stack traces are left out.
func Error(err error) slog.Attr {
	if err == nil {
		return slog.Attr{}
	}
	attributes := make([]any, 0, 3)
	if oopsError, ok := oops.AsOops(err); ok {
		values := oopsError.Context()
		for _, name := range []string{AttributeStep, AttributePeer} {
			if value, exists := values[name]; exists {
				attributes = append(attributes, slog.Any(name, value))
			}
		}
	}
	attributes = append(attributes, slog.String(AttributeError, err.Error()))
	return slog.Group("", attributes...)
}
