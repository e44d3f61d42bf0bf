package dissemination

import (
	"fmt"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/peer"
)

// wireVersion must be incremented whenever wirePacket or a type in it changes.
const wireVersion = 1

// wirePacket is the wire format of a Packet. Changes have the canonical encoding of the log.
type wirePacket struct {
	Request  *ExchangeRequest
	Response *ExchangeResponse
	Push     *wirePush
}

type wirePush struct {
	Name     string
	Revision uint64
	Changes  [][]byte
}

var packetCodec = peer.NewCodec(wireVersion, wirePacket{
	Request:  &ExchangeRequest{Sequence: 1},
	Response: &ExchangeResponse{Sequence: 1, Claims: []Claim{{Name: "n"}}},
	Push:     &wirePush{Revision: 1, Changes: [][]byte{{1}}},
})

// EncodePacket encodes a packet as the payload of one datagram. It omits the changes of a push that
// would not fit into one unfragmented datagram; the receiver fetches them.
func EncodePacket(packet Packet) ([]byte, error) {
	wire := wirePacket{Request: packet.Request, Response: packet.Response}
	if packet.Push != nil {
		wire.Push = &wirePush{Name: packet.Push.Name, Revision: packet.Push.Revision}
		changes, err := encodeChanges(packet.Push.Changes)
		if err != nil {
			return nil, err
		}
		if totalSize(changes) <= peer.MaxUnfragmentedDatagramSize-pushOverhead {
			wire.Push.Changes = changes
		}
	}
	return packetCodec.Encode(&wire)
}

// pushOverhead is the space reserved for the fields of a push other than its changes.
const pushOverhead = 200

func totalSize(parts [][]byte) int {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	return size
}

// DecodePacket decodes the payload that EncodePacket returned.
func DecodePacket(payload []byte) (Packet, error) {
	wire, err := packetCodec.Decode(payload)
	if err != nil {
		return Packet{}, err
	}
	packet := Packet{Request: wire.Request, Response: wire.Response}
	if wire.Push != nil {
		changes, err := decodeChanges(wire.Push.Changes)
		if err != nil {
			return Packet{}, err
		}
		packet.Push = &Push{Name: wire.Push.Name, Revision: wire.Push.Revision, Changes: changes}
	}
	return packet, nil
}

// FetchCall is the wire format of a FetchRequest.
type FetchCall struct {
	Revision uint64
}

// FetchReply is the wire format of a FetchResponse.
type FetchReply struct {
	Changes    [][]byte
	Checkpoint []byte
}

func encodeFetchResponse(response FetchResponse) (*FetchReply, error) {
	reply := &FetchReply{}
	var err error
	if response.Checkpoint != nil {
		reply.Checkpoint, err = catalog.Encode(response.Checkpoint)
		return reply, err
	}
	reply.Changes, err = encodeChanges(response.Changes)
	return reply, err
}

func decodeFetchReply(reply *FetchReply) (*FetchResponse, error) {
	response := &FetchResponse{}
	var err error
	if len(reply.Checkpoint) > 0 {
		response.Checkpoint, err = catalog.Decode(reply.Checkpoint)
		return response, err
	}
	response.Changes, err = decodeChanges(reply.Changes)
	return response, err
}

func encodeChanges(changes []catalog.Change) ([][]byte, error) {
	encoded := make([][]byte, 0, len(changes))
	for _, change := range changes {
		data, err := catalog.EncodeChange(change)
		if err != nil {
			return nil, fmt.Errorf("dissemination: encode change %s: %w", change.ID, err)
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

func decodeChanges(encoded [][]byte) ([]catalog.Change, error) {
	changes := make([]catalog.Change, 0, len(encoded))
	for _, data := range encoded {
		change, err := catalog.DecodeChange(data)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}
