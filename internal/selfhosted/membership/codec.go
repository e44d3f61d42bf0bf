package membership

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/peer/gobvalue"
)

// FormatVersion is the first byte of every encoded packet. It must be raised
// whenever Packet or Update change, because the type descriptors are not sent.
const FormatVersion = 1

// The header of a packet is the format version and the checksum of the value,
// in bytes. The checksum refuses datagrams that were cut short, which gob would
// decode in part.
const (
	versionSize = 1
	headerSize  = versionSize + 4
)

func checksum(value []byte) uint32 { return uint32(xxhash.Sum64(value)) }

// ErrFormat is returned for a datagram that is no whole packet of this
// version.
var ErrFormat = errors.New("membership: not a packet of this format version")

var packets = gobvalue.New("membership", Packet{Kind: PacketPing})

// EncodePacket returns the packet as the payload of one datagram. The error is
// that of the encoder.
func EncodePacket(packet Packet) ([]byte, error) {
	payload, err := packets.Encode(&packet, headerSize)
	if err != nil {
		return nil, fmt.Errorf("membership: encode packet: %w", err)
	}
	payload[0] = FormatVersion
	binary.BigEndian.PutUint32(payload[versionSize:], checksum(payload[headerSize:]))
	return payload, nil
}

// DecodePacket reads the payload of one datagram. The error is ErrFormat for
// another format version, or that of the decoder.
func DecodePacket(payload []byte) (Packet, error) {
	if len(payload) <= headerSize || payload[0] != FormatVersion {
		return Packet{}, ErrFormat
	}
	value := payload[headerSize:]
	if binary.BigEndian.Uint32(payload[versionSize:]) != checksum(value) {
		return Packet{}, ErrFormat
	}
	var packet Packet
	if err := packets.Decode(value, &packet); err != nil {
		return Packet{}, fmt.Errorf("membership: decode packet: %w", err)
	}
	return packet, nil
}
