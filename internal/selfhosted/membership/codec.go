package membership

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// FormatVersion is the first byte of every encoded packet. It must be raised
// whenever Packet or Update change, because the type descriptors are not sent.
const FormatVersion = 1

// headerSize is the format version and the checksum. The checksum refuses
// datagrams that were cut short, which gob would decode in part.
const headerSize = 1 + 4

func checksum(value []byte) uint32 { return uint32(xxhash.Sum64(value)) }

// ErrFormat is returned for a datagram that is no whole packet of this
// version.
var ErrFormat = errors.New("membership: not a packet of this format version")

// A gob stream starts with descriptors of its types, about 280 bytes for a
// Packet, and then carries one message for each value. Both ends know Packet,
// so a datagram carries the value message alone. The number that gob gives to
// a type depends on the process, so it is taken off by the encoder and the
// decoder puts its own in.
type codec struct {
	output  bytes.Buffer
	encoder *gob.Encoder
	input   bytes.Buffer
	decoder *gob.Decoder
}

var codecs = sync.Pool{New: func() any { return newCodec() }}

// typeNumber is the encoded number of Packet in this process.
var typeNumber = findTypeNumber()

// findTypeNumber reads the number from the last message of a sample stream,
// the only one that is not a descriptor.
func findTypeNumber() []byte {
	var stream bytes.Buffer
	if err := gob.NewEncoder(&stream).Encode(&Packet{Kind: PacketPing}); err != nil {
		panic(fmt.Sprintf("membership: packet has no gob encoding: %v", err))
	}
	rest := stream.Bytes()
	for {
		length, width := gobUint(rest)
		if width+int(length) == len(rest) {
			_, numberWidth := gobUint(rest[width:])
			return rest[width : width+numberWidth]
		}
		rest = rest[width+int(length):]
	}
}

func newCodec() *codec {
	c := &codec{}
	c.encoder = gob.NewEncoder(&c.output)
	c.decoder = gob.NewDecoder(&c.input)
	sample := Packet{Kind: PacketPing}
	if err := c.encoder.Encode(&sample); err != nil {
		panic(fmt.Sprintf("membership: packet has no gob encoding: %v", err))
	}
	c.input.Write(c.output.Bytes())
	if err := c.decoder.Decode(&sample); err != nil {
		panic(fmt.Sprintf("membership: packet has no gob decoding: %v", err))
	}
	return c
}

// EncodePacket returns the packet as the payload of one datagram.
func EncodePacket(packet Packet) ([]byte, error) {
	c := codecs.Get().(*codec)
	c.output.Reset()
	if err := c.encoder.Encode(&packet); err != nil {
		return nil, fmt.Errorf("membership: encode packet: %w", err)
	}
	message := c.output.Bytes()
	_, width := gobUint(message)
	value := message[width+len(typeNumber):]
	payload := make([]byte, 0, len(value)+headerSize)
	payload = append(payload, FormatVersion)
	payload = binary.BigEndian.AppendUint32(payload, checksum(value))
	payload = append(payload, value...)
	codecs.Put(c)
	return payload, nil
}

// DecodePacket reads the payload of one datagram. The error is ErrFormat for
// another format version, or that of the decoder.
func DecodePacket(payload []byte) (Packet, error) {
	if len(payload) <= headerSize || payload[0] != FormatVersion {
		return Packet{}, ErrFormat
	}
	value := payload[headerSize:]
	if binary.BigEndian.Uint32(payload[1:]) != checksum(value) {
		return Packet{}, ErrFormat
	}
	c := codecs.Get().(*codec)
	c.input.Reset()
	c.input.Write(appendGobUint(nil, uint64(len(typeNumber)+len(value))))
	c.input.Write(typeNumber)
	c.input.Write(value)
	var packet Packet
	if err := c.decoder.Decode(&packet); err != nil {
		// The decoder is not put back: its state after an error is unknown.
		return Packet{}, fmt.Errorf("membership: decode packet: %w", err)
	}
	codecs.Put(c)
	return packet, nil
}

// gobUint reads an unsigned integer of the gob format and its width in bytes.
func gobUint(data []byte) (value uint64, width int) {
	if data[0] < 0x80 {
		return uint64(data[0]), 1
	}
	width = int(-int8(data[0])) + 1
	for _, b := range data[1:width] {
		value = value<<8 | uint64(b)
	}
	return value, width
}

// appendGobUint appends an unsigned integer in the gob format.
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
