package dissemination

import (
	"testing"

	"github.com/micaplank/micaplank/internal/wiretest"
)

// TestMessagesReadAsRecorded checks that the encodings of messages and of stored checkpoints match
// the recorded ones. A change would break clusters with two versions and existing data in the
// store.
func TestMessagesReadAsRecorded(t *testing.T) {
	wiretest.CheckGob[FetchCall](t, "dissemination.fetch.request")
	wiretest.CheckGob[FetchReply](t, "dissemination.fetch.response")
	wiretest.CheckJSON[chunk](t, "checkpoint.chunk")
	wiretest.CheckEncoding(t, "dissemination.packet",
		func(packet wirePacket) ([]byte, error) { return packetCodec.Encode(&packet) },
		func(encoded []byte) (wirePacket, error) {
			packet, err := packetCodec.Decode(encoded)
			if err != nil {
				return wirePacket{}, err
			}
			return *packet, nil
		})
}
