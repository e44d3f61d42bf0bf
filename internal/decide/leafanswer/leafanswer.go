// Package leafanswer decides which complete answers of a leaf are used.
//
// Rule for the bytes (Bytes.Flaw): a response is spoiled if another one stands inside it, or if its
// head names twice what it has once. The request that it was for has then failed, and may have run.
//
// Inputs: the head and the body of a response, how its end was known, and what had arrived behind it.
//
// Reason: a faulty leaf may send bytes of one answer in the middle of another one. The ID of the
// request may then be right, and the body as long as stated, and yet the answer is not the leaf's.
//
// Rule for an answer: one with a status of 500 or more is a failure of the leaf. One with a status
// of 300 to 499 is the leaf's verdict on the request and is used. A success is used if it carries
// the leaf's signature and its body is not encoded.
//
// Inputs: the HTTP status of an answer of a leaf that ran the request, whether the answer carries
// the leaf's signature, and whether its body has a content encoding.
//
// Reason: an unsigned success may come from an intermediary between node and leaf, and the records
// of an encoded body cannot be merged. An answer that is not used counts as a failed attempt; a
// caller of a single shard receives it if there is no better one.
package leafanswer

import "net/http"

// Answer describes an answer of a leaf that ran the request.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Signed is set if the answer carries the leaf's signature.
	Signed bool
	// Encoded is set if the body has a content encoding.
	Encoded bool
}

// Usable reports whether the answer can be returned or merged.
func (a Answer) Usable() bool {
	switch {
	case a.Status >= http.StatusInternalServerError:
		return false
	case a.Status >= http.StatusMultipleChoices:
		return true
	default:
		return a.Signed && !a.Encoded
	}
}
