package catalog

import "fmt"

// Code says why a command was refused. It is an error, so that callers can
// write errors.Is(err, catalog.CodeUnknownService).
type Code string

// The codes.
const (
	// CodeInvalid means that the command is malformed whatever the catalog.
	CodeInvalid Code = "invalid"
	// CodeLimit means that a number is outside its limits.
	CodeLimit Code = "limit"
	// CodeUnknownService means that the service does not exist.
	CodeUnknownService Code = "unknown_service"
	// CodeUnknownClass means that the service has no such class.
	CodeUnknownClass Code = "unknown_class"
	// CodeUnknownLeaf means that no service has the leaf.
	CodeUnknownLeaf Code = "unknown_leaf"
	// CodeUnknownShard means that the newest partition has no such shard.
	CodeUnknownShard Code = "unknown_shard"
	// CodeUnknownVoter means that the voting set has no such slot.
	CodeUnknownVoter Code = "unknown_voter"
	// CodeDuplicate means that the name or the change id is taken.
	CodeDuplicate Code = "duplicate"
	// CodeUnchanged means that the command would change nothing.
	CodeUnchanged Code = "unchanged"
	// CodeInUse means that something else still needs what is to be removed.
	CodeInUse Code = "in_use"
	// CodeRevision means that the change is not the next one in the log.
	CodeRevision Code = "revision"
)

// Error returns the code itself.
func (c Code) Error() string { return string(c) }

// Error is a refused command. It unwraps to its Code.
type Error struct {
	Code Code
	// Subject is the name, address or field that the error is about.
	Subject string
	Message string
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// Unwrap returns the code.
func (e *Error) Unwrap() error { return e.Code }

func newError(code Code, subject, format string, arguments ...any) *Error {
	return &Error{Code: code, Subject: subject, Message: fmt.Sprintf(format, arguments...)}
}

func newUnknownServiceError(name string) *Error {
	return newError(CodeUnknownService, name, "there is no service %q", name)
}

func newUnknownLeafError(address string) *Error {
	return newError(CodeUnknownLeaf, address, "no service has the leaf %s", address)
}
