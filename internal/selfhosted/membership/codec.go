package membership

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/peer/gobvalue"
)

// FormatVersion is the first byte of every encoded packet. It must be raised whenever Packet or
// Update changes, because the gob type descriptors are not sent.
const FormatVersion = 1

// A packet starts with the format version and the checksum of the gob value. headerSize is their
// size in bytes. The checksum rejects truncated datagrams, which gob would decode in part.
const (
	versionSize = 1
	headerSize  = versionSize + 4
)

func checksum(value []byte) uint32 { return uint32(xxhash.Sum64(value)) }

// ErrFormat is returned for a datagram that is not a complete packet of FormatVersion.
var ErrFormat = errors.New("membership: datagram is not a complete packet of the supported format version")

var packets = gobvalue.New("membership", Packet{Kind: PacketPing})

// EncodePacket returns the payload of the datagram that carries the packet. It fails if gob cannot
// encode the packet.
func EncodePacket(packet Packet) ([]byte, error) {
	payload, err := packets.Encode(&packet, headerSize)
	if err != nil {
		return nil, fmt.Errorf("membership: encode packet: %w", err)
	}
	payload[0] = FormatVersion
	binary.BigEndian.PutUint32(payload[versionSize:], checksum(payload[headerSize:]))
	return payload, nil
}

// DecodePacket decodes the payload of one datagram. It returns ErrFormat for another format version
// or a wrong checksum, and a wrapped decoding error otherwise.
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
