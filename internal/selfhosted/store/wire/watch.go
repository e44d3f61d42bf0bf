package wire

// WatchCreateRequest requests the changes of a range of keys.
type WatchCreateRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// StartRevision is the first revision to report; zero means after the current revision.
	StartRevision  Integer `json:"start_revision,omitempty"`
	ProgressNotify bool    `json:"progress_notify,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create *WatchCreateRequest `json:"create_request,omitempty"`
}

// EventType is the type of a change. The zero value, which the gateway omits, is a put.
type EventType string

const (
	EventPut    EventType = "PUT"
	EventDelete EventType = "DELETE"
)

// Event is a change of one key.
type Event struct {
	Type     EventType `json:"type,omitempty"`
	KeyValue KeyValue  `json:"kv"`
}

// WatchResponse is one message of a watch stream.
type WatchResponse struct {
	Header   *ResponseHeader `json:"header,omitempty"`
	Created  bool            `json:"created,omitempty"`
	Canceled bool            `json:"canceled,omitempty"`
	// CompactRevision is set if the watch was cancelled because its start revision has been
	// compacted.
	CompactRevision Integer `json:"compact_revision,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// StreamMessage is the envelope of each message of a streamed response.
type StreamMessage[Response any] struct {
	Result *Response    `json:"result,omitempty"`
	Error  *StreamError `json:"error,omitempty"`
}

// StreamError is the error that ends a streamed response.
type StreamError struct {
	GRPCCode   Code   `json:"grpc_code,omitempty"`
	HTTPCode   int    `json:"http_code,omitempty"`
	Message    string `json:"message,omitempty"`
	HTTPStatus string `json:"http_status,omitempty"`
}
