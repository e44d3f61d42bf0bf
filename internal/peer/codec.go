package peer

import (
	"errors"
	"fmt"

	"github.com/micaplank/micaplank/internal/peer/gobvalue"
)

// ErrFormat is the error for a datagram that is not a complete message in the codec's format
// version.
var ErrFormat = errors.New("peer: not a message of this format version")

// Codec encodes values of one struct type as messages. A message consists of one byte with the
// version of the format, and the value. The version must be incremented whenever the type changes,
// because messages do not contain a description of the type. A Codec is safe for concurrent use.
type Codec[T any] struct {
	version byte
	values  *gobvalue.Type[T]
}

// NewCodec returns the codec of a type. sample is any value of the type. It panics if gob cannot
// encode it.
func NewCodec[T any](version byte, sample T) *Codec[T] {
	return &Codec[T]{version: version, values: gobvalue.New("peer", sample)}
}

// versionSize is the size in bytes of the header of a message, which consists of the version.
const versionSize = 1

// Encode encodes a value as one message. Errors wrap those of gob.
func (c *Codec[T]) Encode(value *T) ([]byte, error) {
	message, err := c.values.Encode(value, versionSize)
	if err != nil {
		return nil, fmt.Errorf("peer: encode %T: %w", value, err)
	}
	message[0] = c.version
	return message, nil
}

// Decode decodes a message that Encode returned. Errors wrap ErrFormat.
func (c *Codec[T]) Decode(message []byte) (*T, error) {
	if len(message) <= versionSize || message[0] != c.version {
		return nil, ErrFormat
	}
	value := new(T)
	if err := c.values.Decode(message[versionSize:], value); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return value, nil
}
