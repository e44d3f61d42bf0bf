// Package gobvalue encodes values of one struct type as gob without the
// description of the type. A gob stream starts with the descriptions of its
// types, which a datagram has no room for and which both ends know; this
// package carries the value alone.
//
// It owns pools of encoders and decoders that have seen the type, and relies on
// encoding/gob only. Versions, checksums and errors of a format belong to its
// callers: a description that differs between the ends is not noticed here.
package gobvalue

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"sync"
)

// Type encodes and decodes values of T. It is safe for concurrent use.
type Type[T any] struct {
	// number is the encoded number that this process gave to T. It differs
	// between processes, so it is taken off by Encode and put back by Decode.
	typeID []byte
	states sync.Pool
}

// state is an encoder and a decoder that have seen the type.
type codecState struct {
	output  bytes.Buffer
	encoder *gob.Encoder
	input   bytes.Buffer
	decoder *gob.Decoder
}

// New returns the Type of T; sample is any value that gob can encode. It panics
// with the prefix, the name of the calling package, if gob cannot encode T.
func New[T any](prefix string, sample T) *Type[T] {
	t := &Type[T]{}
	t.states.New = func() any {
		s, _ := newState(prefix, sample)
		return s
	}
	_, stream := newState(prefix, sample)
	t.typeID = lastTypeID(stream)
	return t
}

func newState[T any](prefix string, sample T) (*codecState, []byte) {
	s := &codecState{}
	s.encoder = gob.NewEncoder(&s.output)
	s.decoder = gob.NewDecoder(&s.input)
	if err := s.encoder.Encode(&sample); err != nil {
		panic(fmt.Sprintf("%s: %T has no gob encoding: %v", prefix, sample, err))
	}
	stream := bytes.Clone(s.output.Bytes())
	s.input.Write(stream)
	var decoded T
	if err := s.decoder.Decode(&decoded); err != nil {
		panic(fmt.Sprintf("%s: %T has no gob decoding: %v", prefix, sample, err))
	}
	return s, stream
}

// Encode returns a value behind a header of the given size in bytes, which the
// caller fills. The error is that of gob.
func (t *Type[T]) Encode(value *T, headerSize int) ([]byte, error) {
	s := t.states.Get().(*codecState)
	s.output.Reset()
	if err := s.encoder.Encode(value); err != nil {
		// The encoder is not put back: its state after an error is unknown.
		return nil, err
	}
	// The stream now holds one message: its length, the type's number, and the
	// value.
	message := s.output.Bytes()
	_, width := readGobUint(message)
	body := message[width+len(t.typeID):]
	encoded := make([]byte, headerSize, headerSize+len(body))
	encoded = append(encoded, body...)
	t.states.Put(s)
	return encoded, nil
}

// Decode reads into value what Encode returned, without the header. The error
// is that of gob.
func (t *Type[T]) Decode(body []byte, value *T) error {
	s := t.states.Get().(*codecState)
	s.input.Reset()
	s.input.Write(appendGobUint(nil, uint64(len(t.typeID)+len(body))))
	s.input.Write(t.typeID)
	s.input.Write(body)
	if err := s.decoder.Decode(value); err != nil {
		// The decoder is not put back: its state after an error is unknown.
		return err
	}
	t.states.Put(s)
	return nil
}

// lastTypeNumber finds the encoded type number in the last message of a
// stream, the only one that is not a description.
func lastTypeID(stream []byte) []byte {
	for {
		length, width := readGobUint(stream)
		if width+int(length) >= len(stream) {
			_, numberWidth := readGobUint(stream[width:])
			return bytes.Clone(stream[width : width+numberWidth])
		}
		stream = stream[width+int(length):]
	}
}

// gobUint reads an unsigned integer as gob writes it, and its width in bytes:
// small ones in one byte, others as the negated count of bytes and the bytes.
func readGobUint(data []byte) (value uint64, width int) {
	if data[0] < 0x80 {
		return uint64(data[0]), 1
	}
	count := int(-int8(data[0]))
	for _, b := range data[1 : 1+count] {
		value = value<<8 | uint64(b)
	}
	return value, 1 + count
}

// appendGobUint appends an unsigned integer as gobUint reads it.
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
