package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
)

// Content identifies what a request asks. All attempts of a request have the same Content, from any
// client and at any node. It is a cryptographic hash, so that a caller cannot construct a request
// that is mistaken for another.
type Content [16]byte

// HashContent returns the Content of a request with the given host, request line and body.
func HashContent(host string, requestLine, body []byte) Content {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(host), requestLine} {
		_, _ = hash.Write(part) // Write of a hash.Hash never returns an error
		_, _ = hash.Write([]byte{'\n'})
	}
	_, _ = hash.Write(body)
	var content Content
	copy(content[:], hash.Sum(nil))
	return content
}

// String implements fmt.Stringer.
func (c Content) String() string { return hex.EncodeToString(c[:]) }
