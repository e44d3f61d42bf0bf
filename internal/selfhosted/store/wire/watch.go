package wire

// WatchCreateRequest asks for the changes of a range of keys.
type WatchCreateRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// StartRevision is the first revision to report; zero means from now on.
	StartRevision  Integer `json:"start_revision,omitempty"`
	ProgressNotify bool    `json:"progress_notify,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create *WatchCreateRequest `json:"create_request,omitempty"`
}

// EventType says what happened to a key. The zero value, which the gateway
// leaves out, is a put.
type EventType string

// The event types.
const (
	EventPut    EventType = "PUT"
	EventDelete EventType = "DELETE"
)

// Event is one change of one key.
type Event struct {
	Type     EventType `json:"type,omitempty"`
	KeyValue KeyValue  `json:"kv"`
}

// WatchResponse is one message of a watch stream.
type WatchResponse struct {
	Header   *ResponseHeader `json:"header,omitempty"`
	Created  bool            `json:"created,omitempty"`
	Canceled bool            `json:"canceled,omitempty"`
	// CompactRevision is set if the watch was cancelled since its start
	// revision is compacted.
	CompactRevision Integer `json:"compact_revision,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// StreamMessage wraps each message of a streamed response.
type StreamMessage[Response any] struct {
	Result *Response    `json:"result,omitempty"`
	Error  *StreamError `json:"error,omitempty"`
}

// StreamError ends a streamed response.
type StreamError struct {
	GRPCCode   Code   `json:"grpc_code,omitempty"`
	HTTPCode   int    `json:"http_code,omitempty"`
	Message    string `json:"message,omitempty"`
	HTTPStatus string `json:"http_status,omitempty"`
}
