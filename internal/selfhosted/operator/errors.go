package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Exit codes of micactl.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var usage *UsageError
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &usage):
		return ExitUsage
	default:
		return ExitFailure
	}
}

// UsageError reports invalid arguments on the command line.
type UsageError struct {
	Message string
}

// Error returns the message.
func (e *UsageError) Error() string { return e.Message }

// usageErrorf returns a UsageError with a formatted message.
func usageErrorf(format string, arguments ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, arguments...)}
}

// UnreachableError is returned if no node responded.
type UnreachableError struct {
	// Attempts holds the error for each node that was tried.
	Attempts []error
	// Sent reports whether the request may have reached a node.
	Sent bool
}

// Error lists the errors of the attempts.
func (e *UnreachableError) Error() string {
	texts := make([]string, len(e.Attempts))
	for i, attempt := range e.Attempts {
		texts[i] = attempt.Error()
	}
	return "no node answered: " + strings.Join(texts, "; ")
}

// nilIfUnsent returns the error if the request may have reached a node, and nil
// otherwise.
func (e *UnreachableError) nilIfUnsent() *UnreachableError {
	if e.Sent {
		return e
	}
	return nil
}

// Unwrap returns the errors of the attempts.
func (e *UnreachableError) Unwrap() []error { return e.Attempts }

// ChangeOutcomeError is returned for a change that is not known to be accepted.
type ChangeOutcomeError struct {
	Outcome  api.ChangeOutcome
	ChangeID string
	Detail   string
}

// Error describes the fate and, if the fate is unknown, how to ask for it again.
func (e *ChangeOutcomeError) Error() string {
	var text string
	switch e.Outcome {
	case api.ChangeNotAccepted:
		text = "the change is not accepted and never will be"
	default:
		text = "the fate of the change is unknown"
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Outcome == api.ChangeOutcomeUnknown && e.ChangeID != "" {
		text += fmt.Sprintf("\nask again:  micactl change %s", e.ChangeID)
	}
	return text
}

// LostResponseError is returned if a change may have reached a node, but no node responded.
type LostResponseError struct {
	Token string
	Cause error
}

// Error explains how to find out the fate of the change.
func (e *LostResponseError) Error() string {
	return fmt.Sprintf("the fate of the change is unknown: %v\nask again:  micactl change %s\nor repeat:  the same statement with --change-id %s takes effect at most once",
		e.Cause, e.Token, e.Token)
}

// Unwrap returns the cause.
func (e *LostResponseError) Unwrap() error { return e.Cause }
