// Package leafanswer decides which whole answers of a leaf are used.
//
// The rule: an answer with a status of 500 or more is a failure of the leaf, and one with
// 300 to 499 is what the leaf says of the request, so it is used. A success is used if it
// is signed by the leaf and its body is not encoded.
//
// Inputs: the HTTP status of an answer of a leaf that ran the request; whether it carries
// the leaf's signature; whether its body has a content encoding.
//
// Reason: an unsigned success may come from something between node and leaf, and records
// of an encoded body cannot be merged. An answer that is not used counts as a failed
// attempt; a caller of one shard receives it if nothing better comes. Not measured: the
// rule has no constant but the classes of HTTP.
package leafanswer

import "net/http"

// Answer is what is known of an answer of a leaf that ran the request.
type Answer struct {
	// Status is that of HTTP.
	Status int
	// Signed says that the leaf's signature is there.
	Signed bool
	// Encoded says that the body has a content encoding.
	Encoded bool
}

// Usable reports whether the answer can be returned, or be a part.
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
