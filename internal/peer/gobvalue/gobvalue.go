// Package gobvalue encodes values of one struct type as gob without the description of the type. A
// gob stream starts with the descriptions of its types. They would not fit into a datagram, and
// both sides know the type, so this package encodes only the value.
//
// The package pools encoders and decoders that have processed the type description. It uses only
// encoding/gob. Versions, checksums and errors of a message format are the responsibility of the
// callers: this package does not detect that the type differs between the two sides.
package gobvalue

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"sync"
)

// Type encodes and decodes values of T. It is safe for concurrent use.
type Type[T any] struct {
	// typeID is the encoded gob type ID of T in this process. It differs between processes, so
	// Encode removes it and Decode inserts it.
	typeID []byte
	states sync.Pool
}

// codecState holds an encoder and a decoder that have processed the type description.
type codecState struct {
	output  bytes.Buffer
	encoder *gob.Encoder
	input   bytes.Buffer
	decoder *gob.Decoder
}

// New returns the Type of T. sample is any value of T. If gob cannot encode or decode sample, New
// panics with a message that starts with prefix, the name of the calling package.
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

// newState returns a codecState that has processed the type description, and the gob stream of
// sample.
func newState[T any](prefix string, sample T) (*codecState, []byte) {
	s := &codecState{}
	s.encoder = gob.NewEncoder(&s.output)
	s.decoder = gob.NewDecoder(&s.input)
	if err := s.encoder.Encode(&sample); err != nil {
		panic(fmt.Sprintf("%s: cannot encode %T as gob: %v", prefix, sample, err))
	}
	stream := bytes.Clone(s.output.Bytes())
	s.input.Write(stream)
	var decoded T
	if err := s.decoder.Decode(&decoded); err != nil {
		panic(fmt.Sprintf("%s: cannot decode %T from gob: %v", prefix, sample, err))
	}
	return s, stream
}

// Encode encodes a value behind a zeroed header of headerSize bytes, which the caller fills in. The
// error is that of gob.
func (t *Type[T]) Encode(value *T, headerSize int) ([]byte, error) {
	s := t.states.Get().(*codecState)
	s.output.Reset()
	if err := s.encoder.Encode(value); err != nil {
		// The encoder does not return to the pool, because its state after an error is unknown.
		return nil, err
	}
	// The stream now contains one message, which consists of its length, the type ID and the value.
	message := s.output.Bytes()
	_, width := readGobUint(message)
	body := message[width+len(t.typeID):]
	encoded := make([]byte, headerSize, headerSize+len(body))
	encoded = append(encoded, body...)
	t.states.Put(s)
	return encoded, nil
}

// Decode decodes the output of Encode, without its header, into value. The error is that of gob.
func (t *Type[T]) Decode(body []byte, value *T) error {
	s := t.states.Get().(*codecState)
	s.input.Reset()
	s.input.Write(appendGobUint(nil, uint64(len(t.typeID)+len(body))))
	s.input.Write(t.typeID)
	s.input.Write(body)
	if err := s.decoder.Decode(value); err != nil {
		// The decoder does not return to the pool, because its state after an error is unknown.
		return err
	}
	t.states.Put(s)
	return nil
}

// lastTypeID returns the encoded type ID of the last message in a stream. Only the last message
// contains a value; the others are type descriptions.
func lastTypeID(stream []byte) []byte {
	for {
		length, width := readGobUint(stream)
		if width+int(length) >= len(stream) {
			_, idWidth := readGobUint(stream[width:])
			return bytes.Clone(stream[width : width+idWidth])
		}
		stream = stream[width+int(length):]
	}
}

// readGobUint decodes an unsigned integer of gob and returns its width in bytes. gob encodes a
// value below 128 as one byte, and any other value as its negated number of bytes followed by the
// bytes in big-endian order.
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

// appendGobUint appends an unsigned integer in the encoding that readGobUint decodes.
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
