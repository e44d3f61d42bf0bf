package rows

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// KeyHash returns the hash that places a key value on a shard: the shard is
// the hash modulo the number of shards. It is part of the leaf protocol and
// must not change. Numbers that are equal have equal hashes; a number and a
// text that reads the same have different ones.
func KeyHash(value Value) uint64 {
	switch value.Kind {
	case Number:
		number := value.Number
		if number == 0 {
			number = 0 // -0 and 0 are equal
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
