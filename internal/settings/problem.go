package settings

import (
	"fmt"
	"strings"
)

// Origin identifies the source of a value: a line of a file or a flag. The zero Origin stands for a
// default.
type Origin struct {
	File string
	// Line numbers start at 1.
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

// Problem describes one invalid setting.
type Problem struct {
	Origin Origin
	// Key is the dotted key, such as "listen.http". It is empty for a syntax error that concerns no
	// key.
	Key string
	// Expected describes the valid values in words.
	Expected string
	// Found is the invalid text.
	Found string
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

// Problems lists all invalid settings. Decoding problems are in the order of the file and the
// flags. Validation problems are in the order of the fields.
type Problems []Problem

// Error implements error. It returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// asError returns the problems as an error, or an untyped nil error if there are none.
func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
