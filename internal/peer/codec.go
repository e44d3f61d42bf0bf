package peer

import (
	"errors"
	"fmt"

	"github.com/micaplank/micaplank/internal/peer/gobvalue"
)

// ErrFormat is returned for a datagram that is no whole message of the codec's
// format version.
var ErrFormat = errors.New("peer: not a message of this format version")

// Codec encodes values of one struct type as messages: a byte with the version
// of the format, and the value. The version must be raised whenever the type
// changes, because its description is not sent. It is safe for concurrent use.
type Codec[T any] struct {
	version byte
	values  *gobvalue.Type[T]
}

// NewCodec returns the codec of a type; sample is any value that gob can
// encode. It panics if gob cannot encode the type.
func NewCodec[T any](version byte, sample T) *Codec[T] {
	return &Codec[T]{version: version, values: gobvalue.New("peer", sample)}
}

// versionSize is the size of a message's header in bytes: the version.
const versionSize = 1

// Encode returns a value as one message. Its error is that of gob.
func (c *Codec[T]) Encode(value *T) ([]byte, error) {
	message, err := c.values.Encode(value, versionSize)
	if err != nil {
		return nil, fmt.Errorf("peer: encode %T: %w", value, err)
	}
	message[0] = c.version
	return message, nil
}

// Decode reads what Encode returned. Its error is ErrFormat or wraps it.
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
