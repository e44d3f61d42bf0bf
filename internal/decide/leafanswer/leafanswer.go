// Package leafanswer decides which complete answers of a leaf are used.
//
// Rule for the bytes (Received.Flaw): a response is corrupt if another one stands inside it, or if its
// head names twice what it has once. The request that it was for has then failed, and may have run.
//
// Inputs: the head and the body of a response, how its end was known, and what had arrived behind it.
//
// Reason: a faulty leaf may send bytes of one answer in the middle of another one. The ID of the
// request may then be right, and the body as long as stated, and yet the answer is not the leaf's.
//
// Rule for a status (IsStatus): a response whose status is none of HTTP is no answer. The request may
// have run.
//
// Rule for an answer (Answer.Use): a success, of status 200 to 299, is used if it carries the leaf's
// signature and its body is not encoded; no other success ever reaches a caller. A status of 300 to
// 499 is the leaf's verdict on the request and is returned, but is no part of an answer that is
// merged. A status of 500 or more is a failure of the leaf, which is returned if there is no better
// answer.
//
// Inputs: the HTTP status of an answer of a leaf that ran the request, whether the answer carries
// the leaf's signature, whether its body has a content encoding, and whether it is to be merged.
//
// Reason: an unsigned success may come from an intermediary between node and leaf, an encoded body
// is not the leaf's, and a failure has no records.
package leafanswer

import "net/http"

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// IsStatus reports whether a number is a status that a leaf may send. 101 is none, since no request
// asks for another protocol.
func IsStatus(status int) bool {
	return status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// Answer describes an answer of a leaf that ran the request.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Signed is set if the answer carries the leaf's signature.
	Signed bool
	// Encoded is set if the body has a content encoding.
	Encoded bool
	// Merged is set if the answer is to be merged with those of other shards.
	Merged bool
}

// Use is what an answer is used for.
type Use int

// The uses of an answer. With all but the first the attempt has failed.
const (
	UseAsAnswer    Use = iota // returned, or merged
	UseAsFailure              // the leaf failed; returned if there is no better answer
	UseAsRejection            // the leaf is in order and rejects the request; no part
	UseNone                   // never returned
)

// Use returns what the answer is used for.
func (a Answer) Use() Use {
	switch {
	case a.Status >= http.StatusInternalServerError:
		return UseAsFailure
	case a.Status >= http.StatusMultipleChoices && a.Merged:
		return UseAsRejection
	case a.Status >= http.StatusMultipleChoices:
		return UseAsAnswer
	case a.Status >= http.StatusOK && a.Signed && !a.Encoded:
		return UseAsAnswer
	default:
		return UseNone
	}
}
