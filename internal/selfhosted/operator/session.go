package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Format is how results are written.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// ParseFormat reads a format.
func ParseFormat(text string) (Format, error) {
	switch format := Format(text); format {
	case FormatText, FormatJSON:
		return format, nil
	default:
		return "", usageErrorf("%q is no output format: text or json is expected", text)
	}
}

// Session runs the commands of the program: each method is one command. It
// writes results to Output; errors are returned, and the caller writes them.
type Session struct {
	Client *Client
	Output io.Writer
	Format Format
	// Timeout bounds a command that waits for something to happen.
	Timeout time.Duration
	// Now returns the time of day that watch shows; nil stands for time.Now.
	Now func() time.Time
	// errorWritten says that the error of the command is in the output already.
	errorWritten bool
}

// Failure is the JSON form of the error of a command.
type Failure struct {
	Error   string       `json:"error"`
	Problem *api.Problem `json:"problem,omitempty"`
}

// Finish ends a command and returns its error. In JSON it first writes the
// error as the last document of the output, unless a result has it already.
func (s *Session) Finish(err error) error {
	if err == nil || s.errorWritten || s.Format != FormatJSON {
		return err
	}
	failure := Failure{Error: err.Error()}
	errors.As(err, &failure.Problem)
	return errors.Join(err, s.writeJSONLine(failure))
}

func (s *Session) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// printf writes text to the output. What cannot be written has no reader.
func (s *Session) printf(format string, arguments ...any) {
	fmt.Fprintf(s.Output, format, arguments...)
}

// writeJSON writes one indented document.
func (s *Session) writeJSON(value any) error {
	encoder := json.NewEncoder(s.Output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeJSONLine writes one document on a line of its own, for commands that
// give more than one.
func (s *Session) writeJSONLine(value any) error {
	return json.NewEncoder(s.Output).Encode(value)
}
