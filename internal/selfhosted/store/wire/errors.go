package wire

// ErrorBody is the body of a response with an HTTP error status.
type ErrorBody struct {
	Error   string `json:"error,omitempty"`
	Code    Code   `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// Code is a gRPC status code.
type Code int

// The codes that the store returns.
const (
	CodeOK                 Code = 0
	CodeCanceled           Code = 1
	CodeUnknown            Code = 2
	CodeInvalidArgument    Code = 3
	CodeDeadlineExceeded   Code = 4
	CodeNotFound           Code = 5
	CodePermissionDenied   Code = 7
	CodeResourceExhausted  Code = 8
	CodeFailedPrecondition Code = 9
	CodeOutOfRange         Code = 11
	CodeUnimplemented      Code = 12
	CodeInternal           Code = 13
	CodeUnavailable        Code = 14
	CodeUnauthenticated    Code = 16
)
