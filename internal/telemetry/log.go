// Package telemetry sets up logging and metrics for all programs of this module: slog handlers
// that order attributes, limit the rate of each message and tolerate a slow reader of the
// output, the log attributes of errors, and a Prometheus registry that can list its metrics.
// It imports no other package of this module.
package telemetry

import (
	"io"
	"log/slog"
	"strings"

	"github.com/samber/oops"
)

// Format is the encoding of log lines.
type Format string

// Supported formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Keys of the attributes that are common to log lines and errors.
const (
	AttributeNode      = "node"
	AttributePeer      = "peer"
	AttributeStep      = "step"
	AttributeRequestID = "request_id"
	AttributeError     = "error"
)

// LogConfig configures a logger. The zero value selects text at level info.
type LogConfig struct {
	Format Format
	// Level is debug, info, warn or error. Any other value selects info.
	Level string
}

// NewLogger returns a logger that adds the name of the node to each line, unless the name is
// empty. Each call of Write gets one whole line.
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

// parseLevel returns the level with the given name, or info if there is no such level.
func parseLevel(name string) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(strings.ToUpper(name))); err != nil {
		return slog.LevelInfo
	}
	return level
}

// Error returns the log attributes of an error: the step and the peer, if the error has them,
// followed by its message. Stack traces are omitted.
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
