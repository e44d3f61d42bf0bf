package rows

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// KeyHash returns the hash of a key value. The shard of a row is the hash of its key modulo the
// number of shards. KeyHash is part of the leaf protocol and must not change. Equal numbers have
// equal hashes. A number and a text with the same characters have different hashes.
func KeyHash(value Value) uint64 {
	switch value.Kind {
	case Number:
		number := value.Number
		if number == 0 {
			number = 0 // replaces -0, which equals 0
		}
		var encoded [9]byte
		encoded[0] = byte(Number)
		binary.BigEndian.PutUint64(encoded[1:], math.Float64bits(number))
		return xxhash.Sum64(encoded[:])
	case Text:
		encoded := make([]byte, 0, 1+len(value.Text))
		encoded = append(encoded, byte(Text))
		return xxhash.Sum64(append(encoded, value.Text...))
	default:
		return xxhash.Sum64([]byte{byte(Null)})
	}
}
