package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Exit codes of the program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// ExitCode returns the exit code that stands for an error.
func ExitCode(err error) int {
	var usage *UsageError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage):
		return ExitUsage
	default:
		return ExitFailed
	}
}

// UsageError is a wrong use of the command line.
type UsageError struct {
	Message string
}

// Error returns the message.
func (e *UsageError) Error() string { return e.Message }

func usageErrorf(format string, arguments ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, arguments...)}
}

// UnreachableError means that no node gave an answer.
type UnreachableError struct {
	// Attempts holds the error of each node that was tried.
	Attempts []error
	// Sent is whether the request may have reached a node.
	Sent bool
}

// Error lists the attempts.
func (e *UnreachableError) Error() string {
	texts := make([]string, len(e.Attempts))
	for i, attempt := range e.Attempts {
		texts[i] = attempt.Error()
	}
	return "no node answered: " + strings.Join(texts, "; ")
}

// ifSent returns the error if the request may have reached a node, or nil.
func (e *UnreachableError) nilUnlessSent() *UnreachableError {
	if e.Sent {
		return e
	}
	return nil
}

// Unwrap returns the attempts.
func (e *UnreachableError) Unwrap() []error { return e.Attempts }

// FateError means that a change is not known to be accepted.
type FateError struct {
	Fate     api.Fate
	ChangeID string
	Detail   string
}

// Error says what is known and, if that may change, how to ask again.
func (e *FateError) Error() string {
	var text string
	switch e.Fate {
	case api.FateNotAccepted:
		text = "the change is not accepted and never will be"
	default:
		text = "the fate of the change is unknown"
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Fate == api.FateUnknown && e.ChangeID != "" {
		text += fmt.Sprintf("\nask again:  micactl change %s", e.ChangeID)
	}
	return text
}

// LostError means that the answer to a change was lost on the way.
type LostResponseError struct {
	Token string
	Cause error
}

// Error says how to find the fate out.
func (e *LostResponseError) Error() string {
	return fmt.Sprintf("the fate of the change is unknown: %v\nask again:  micactl change %s\nor repeat:  the same statement with --change-id %s takes effect at most once",
		e.Cause, e.Token, e.Token)
}

// Unwrap returns the cause.
func (e *LostResponseError) Unwrap() error { return e.Cause }
