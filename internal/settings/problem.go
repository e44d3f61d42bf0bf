package settings

import (
	"fmt"
	"strings"
)

// Origin is where a value was set: a line of a file, a flag, or neither for a
// default.
type Origin struct {
	File string
	// Line is counted from 1.
	Line int
	Flag string
}

// String implements fmt.Stringer.
func (o Origin) String() string {
	switch {
	case o.Flag != "":
		return "flag " + o.Flag
	case o.File != "" && o.Line > 0:
		return fmt.Sprintf("%s:%d", o.File, o.Line)
	case o.File != "":
		return o.File
	default:
		return "settings"
	}
}

// Problem is one thing that is wrong with the settings.
type Problem struct {
	Origin Origin
	// Key is the dotted key, such as "listen.http"; empty for a syntax error.
	Key string
	// Expected says in words what was expected; Found is the text that is there.
	Expected string
	Found    string
}

// Error implements error.
func (p Problem) Error() string {
	var text strings.Builder
	text.WriteString(p.Origin.String())
	if p.Key != "" {
		text.WriteString(": " + p.Key)
	}
	text.WriteString(": expected " + p.Expected)
	if p.Found != "" {
		text.WriteString(", found " + p.Found)
	}
	return text.String()
}

// Problems is everything that is wrong with the settings: in the order of the
// file and the flags if a value could not be read, otherwise in the order of
// the fields.
type Problems []Problem

// Error implements error: one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
