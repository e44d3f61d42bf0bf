package peer

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"
)

// ErrFormat is returned for a datagram that is no whole message of the codec's
// format version.
var ErrFormat = errors.New("peer: not a message of this format version")

// Codec encodes values of one struct type as gob without the description of
// the type, which a datagram has no room for and which both ends know. Its
// version must be raised whenever the type changes. It is safe for concurrent
// use.
type Codec[T any] struct {
	version byte
	number  []byte
	states  sync.Pool
}

// codecState is an encoder and a decoder that have seen the type.
type codecState struct {
	output  bytes.Buffer
	encoder *gob.Encoder
	input   bytes.Buffer
	decoder *gob.Decoder
}

// NewCodec returns the codec of a type; sample is any value that gob can
// encode. It panics if gob cannot encode the type.
func NewCodec[T any](version byte, sample T) *Codec[T] {
	c := &Codec[T]{version: version}
	c.states.New = func() any {
		state, _ := newCodecState(sample)
		return state
	}
	_, stream := newCodecState(sample)
	c.number = lastTypeNumber(stream)
	return c
}

func newCodecState[T any](sample T) (*codecState, []byte) {
	s := &codecState{}
	s.encoder = gob.NewEncoder(&s.output)
	s.decoder = gob.NewDecoder(&s.input)
	if err := s.encoder.Encode(&sample); err != nil {
		panic(fmt.Sprintf("peer: %T has no gob encoding: %v", sample, err))
	}
	stream := bytes.Clone(s.output.Bytes())
	s.input.Write(stream)
	var decoded T
	if err := s.decoder.Decode(&decoded); err != nil {
		panic(fmt.Sprintf("peer: %T has no gob decoding: %v", sample, err))
	}
	return s, stream
}

// Encode returns a value as one message.
func (c *Codec[T]) Encode(value *T) ([]byte, error) {
	s := c.states.Get().(*codecState)
	s.output.Reset()
	if err := s.encoder.Encode(value); err != nil {
		return nil, fmt.Errorf("peer: encode %T: %w", value, err)
	}
	// The stream now holds one message: its length, the number that this
	// process gave to the type, and the value.
	message := s.output.Bytes()
	_, width := gobUint(message)
	encoded := make([]byte, 0, len(message))
	encoded = append(encoded, c.version)
	encoded = append(encoded, message[width+len(c.number):]...)
	c.states.Put(s)
	return encoded, nil
}

// Decode reads what Encode returned. Its error is ErrFormat or wraps it.
func (c *Codec[T]) Decode(message []byte) (*T, error) {
	if len(message) < 2 || message[0] != c.version {
		return nil, ErrFormat
	}
	body := message[1:]
	s := c.states.Get().(*codecState)
	s.input.Reset()
	s.input.Write(appendGobUint(nil, uint64(len(c.number)+len(body))))
	s.input.Write(c.number)
	s.input.Write(body)
	value := new(T)
	if err := s.decoder.Decode(value); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err) // the state is left behind
	}
	c.states.Put(s)
	return value, nil
}

// lastTypeNumber finds the encoded type number in the last message of a
// stream, the only one that is not a description.
func lastTypeNumber(stream []byte) []byte {
	for {
		length, width := gobUint(stream)
		if width+int(length) >= len(stream) {
			_, numberWidth := gobUint(stream[width:])
			return bytes.Clone(stream[width : width+numberWidth])
		}
		stream = stream[width+int(length):]
	}
}

// gobUint reads an unsigned integer as gob writes it: small ones in one byte,
// others as the negated count of bytes and the bytes.
func gobUint(data []byte) (value uint64, width int) {
	if data[0] < 0x80 {
		return uint64(data[0]), 1
	}
	count := int(-int8(data[0]))
	for _, b := range data[1 : 1+count] {
		value = value<<8 | uint64(b)
	}
	return value, 1 + count
}

func appendGobUint(data []byte, value uint64) []byte {
	if value < 0x80 {
		return append(data, byte(value))
	}
	var digits []byte
	for ; value > 0; value >>= 8 {
		digits = append([]byte{byte(value)}, digits...)
	}
	data = append(data, byte(-len(digits)))
	return append(data, digits...)
}
