package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Format is the output format of results.
type Format string

// The output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// ParseFormat parses the name of an output format.
func ParseFormat(text string) (Format, error) {
	switch format := Format(text); format {
	case FormatText, FormatJSON:
		return format, nil
	default:
		return "", usageErrorf("%q is no output format: text or json is expected", text)
	}
}

// Session runs the commands of micactl, one method per command. It writes results to Output
// and returns errors for the caller to print.
type Session struct {
	Client *Client
	Output io.Writer
	Format Format
	// Timeout limits commands that wait, such as Drain.
	Timeout time.Duration
	// Now returns the time of day that Watch prints. nil means time.Now.
	Now func() time.Time
	// errorWritten is set once the output contains the error of the command.
	errorWritten bool
}

// ErrorDocument is the JSON output for the error of a command.
type ErrorDocument struct {
	Error   string       `json:"error"`
	Problem *api.Problem `json:"problem,omitempty"`
}

// Finish ends a command and returns its error. In JSON format it first writes the error as
// the last document of the output, unless the output already contains it.
func (s *Session) Finish(err error) error {
	if err == nil || s.errorWritten || s.Format != FormatJSON {
		return err
	}
	document := ErrorDocument{Error: err.Error()}
	errors.As(err, &document.Problem)
	return errors.Join(err, s.writeJSONLine(document))
}

func (s *Session) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// printf writes formatted text to the output. It ignores write errors, since there is no
// other place to report them.
func (s *Session) printf(format string, arguments ...any) {
	fmt.Fprintf(s.Output, format, arguments...)
}

// writeJSON writes a value as one indented JSON document.
func (s *Session) writeJSON(value any) error {
	encoder := json.NewEncoder(s.Output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeJSONLine writes a value as one JSON document per line, for commands that write several
// documents.
func (s *Session) writeJSONLine(value any) error {
	return json.NewEncoder(s.Output).Encode(value)
}
