package catalog

import "fmt"

// Code is the reason for refusing a command. It implements error, so that callers can write
// errors.Is(err, catalog.CodeUnknownService).
type Code string

// Codes of Error.
const (
	// CodeInvalid means that the command is malformed, independent of the catalog.
	CodeInvalid Code = "invalid"
	// CodeLimit means that a number is out of range or that a collection is full.
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
	// CodeDuplicate means that the name or the change ID is already in use.
	CodeDuplicate Code = "duplicate"
	// CodeUnchanged means that the command has no effect.
	CodeUnchanged Code = "unchanged"
	// CodeInUse means that the object cannot be removed because it is still in use.
	CodeInUse Code = "in_use"
	// CodeRevision means that the change does not have the next revision of the log.
	CodeRevision Code = "revision"
)

// Error returns the code as text.
func (c Code) Error() string { return string(c) }

// Error describes why a command was refused. It unwraps to its Code.
type Error struct {
	Code Code
	// Subject is the name, address or field that caused the error.
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
