package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
)

// Content names what a request asks. It is the same for each try of a request, by
// any client at any node. It is a cryptographic hash: no caller can make a request
// that is taken for that of another.
type Content [16]byte

// ContentOf returns the name of what a request asks.
func ContentOf(host string, requestLine, body []byte) Content {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(host), requestLine} {
		_, _ = hash.Write(part) // a hash takes all
		_, _ = hash.Write([]byte{'\n'})
	}
	_, _ = hash.Write(body)
	var content Content
	copy(content[:], hash.Sum(nil))
	return content
}

// String implements fmt.Stringer.
func (c Content) String() string { return hex.EncodeToString(c[:]) }
