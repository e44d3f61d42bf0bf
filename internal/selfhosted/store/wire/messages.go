// Package wire defines the messages of the part of the etcd v3 HTTP/JSON gateway that micaplank
// uses. Field names, the base64 encoding of keys and values, and the encoding of 64-bit integers as
// strings follow the gateway. As in the gateway, fields with their zero value are omitted.
package wire

// Paths of the gateway. All are called with POST.
const (
	RangePath       = "/v3/kv/range"
	TxnPath         = "/v3/kv/txn"
	DeleteRangePath = "/v3/kv/deleterange"
	CompactionPath  = "/v3/kv/compaction"
	WatchPath       = "/v3/watch"
)

// ResponseHeader is part of every response.
type ResponseHeader struct {
	// ClusterID and MemberID are unsigned 64-bit integers in decimal notation.
	ClusterID string `json:"cluster_id,omitempty"`
	MemberID  string `json:"member_id,omitempty"`
	// Revision is the revision of the store when it created the response.
	Revision Integer `json:"revision,omitempty"`
}

// KeyValue is a key with its value and revisions.
type KeyValue struct {
	Key            []byte  `json:"key,omitempty"`
	CreateRevision Integer `json:"create_revision,omitempty"`
	ModRevision    Integer `json:"mod_revision,omitempty"`
	Version        Integer `json:"version,omitempty"`
	Value          []byte  `json:"value,omitempty"`
}

// RangeRequest reads the keys from Key up to, but not including, RangeEnd, or only Key if RangeEnd
// is empty.
type RangeRequest struct {
	Key       []byte  `json:"key,omitempty"`
	RangeEnd  []byte  `json:"range_end,omitempty"`
	Limit     Integer `json:"limit,omitempty"`
	Revision  Integer `json:"revision,omitempty"`
	KeysOnly  bool    `json:"keys_only,omitempty"`
	CountOnly bool    `json:"count_only,omitempty"`
}

// RangeResponse holds the keys of a range in order.
type RangeResponse struct {
	Header    *ResponseHeader `json:"header,omitempty"`
	KeyValues []KeyValue      `json:"kvs,omitempty"`
	More      bool            `json:"more,omitempty"`
	Count     Integer         `json:"count,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header *ResponseHeader `json:"header,omitempty"`
}

// DeleteRangeRequest deletes the keys from Key up to, but not including, RangeEnd, or only Key if
// RangeEnd is empty.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse holds the number of deleted keys.
type DeleteRangeResponse struct {
	Header  *ResponseHeader `json:"header,omitempty"`
	Deleted Integer         `json:"deleted,omitempty"`
}

// CompareTarget is the field of a key that a Compare examines.
type CompareTarget string

const (
	TargetVersion CompareTarget = "VERSION"
	TargetCreate  CompareTarget = "CREATE"
	TargetMod     CompareTarget = "MOD"
)

// CompareResult is the relation that a Compare requires.
type CompareResult string

const (
	ResultEqual    CompareResult = "EQUAL"
	ResultGreater  CompareResult = "GREATER"
	ResultLess     CompareResult = "LESS"
	ResultNotEqual CompareResult = "NOT_EQUAL"
)

// Compare is one condition of a transaction. A missing key has version 0 and revisions 0.
type Compare struct {
	Result         CompareResult `json:"result,omitempty"`
	Target         CompareTarget `json:"target,omitempty"`
	Key            []byte        `json:"key,omitempty"`
	Version        *Integer      `json:"version,omitempty"`
	CreateRevision *Integer      `json:"create_revision,omitempty"`
	ModRevision    *Integer      `json:"mod_revision,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp answers a RequestOp.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest atomically executes Success if all conditions of Compare hold, and Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse reports which branch was executed and holds its responses.
type TxnResponse struct {
	Header    *ResponseHeader `json:"header,omitempty"`
	Succeeded bool            `json:"succeeded,omitempty"`
	Responses []ResponseOp    `json:"responses,omitempty"`
}

// CompactionRequest discards the history before Revision.
type CompactionRequest struct {
	Revision Integer `json:"revision,omitempty"`
}

// CompactionResponse answers a CompactionRequest.
type CompactionResponse struct {
	Header *ResponseHeader `json:"header,omitempty"`
}
