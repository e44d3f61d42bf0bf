package membership

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

func drawUpdate(t *rapid.T) Update {
	update := Update{
		Name:        rapid.StringMatching(`[a-z0-9-]{1,40}`).Draw(t, "name"),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Refutation:  rapid.Uint32().Draw(t, "refutation"),
		State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
		Accuser:     rapid.Uint32().Draw(t, "accuser"),
	}
	if rapid.Bool().Draw(t, "full") {
		update.Zone, update.Region = "zone-1", "region-1"
		update.Address = address(rapid.IntRange(0, 65535).Draw(t, "address"), 1)
		update.HTTPAddress = address(7, 1)
	}
	return update
}

func drawPacket(t *rapid.T) Packet {
	packet := Packet{
		Kind:     PacketKind(rapid.IntRange(1, 8).Draw(t, "kind")),
		Sequence: rapid.Uint64().Draw(t, "sequence"),
		From:     drawUpdate(t),
		Target:   rapid.StringMatching(`[a-z0-9-]{0,40}`).Draw(t, "target"),
		Updates:  rapid.SliceOfN(rapid.Custom(drawUpdate), 1, 10).Draw(t, "updates"),
		Digest:   rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "digest"),
		More:     rapid.Bool().Draw(t, "more"),
		Revision: rapid.Uint64().Draw(t, "revision"),
	}
	if rapid.Bool().Draw(t, "relayed") {
		packet.TargetAddress = address(3, 3)
		packet.Subject = drawUpdate(t)
	}
	return packet
}

func TestPacketRoundTripStaysWithinMaximumSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		packet := drawPacket(t)
		payload, err := EncodePacket(packet)
		if err != nil {
			t.Fatal(err)
		}
		if len(payload) > packet.maximumSize() {
			t.Fatalf("encoded size is %d bytes, want at most %d", len(payload), packet.maximumSize())
		}
		decoded, err := DecodePacket(payload)
		if err != nil || !reflect.DeepEqual(decoded, packet) {
			t.Fatalf("DecodePacket returned %+v, %v; want %+v", decoded, err, packet)
		}
	})
}

func TestTruncatedPayloadsAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		_, _ = DecodePacket(payload)
		valid, _ := EncodePacket(drawPacket(t))
		cut := rapid.IntRange(0, len(valid)-1).Draw(t, "cut")
		if _, err := DecodePacket(valid[:cut]); err == nil {
			t.Fatalf("DecodePacket accepted a payload truncated to %d of %d bytes, want an error", cut, len(valid))
		}
	})
}

// The golden file records the encoding of FormatVersion. A change of the encoding requires a higher
// FormatVersion.
func TestPacketEncodingMatchesGoldenFile(t *testing.T) {
	payload, err := EncodePacket(samplePing())
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "ping", payload)
}

func samplePing() Packet {
	self := Member{Name: "node-0007", Zone: "zone-1", Region: "region-1", Address: address(7, 1), HTTPAddress: address(7, 1), Incarnation: 1796200000000}
	suspect := self
	suspect.Name, suspect.State, suspect.Refutation = "node-0009", StateSuspect, 2
	return Packet{
		Kind: PacketPing, Sequence: 300, From: shortUpdate(self), Target: "node-0008",
		Updates: []Update{fullUpdate(suspect)}, Revision: 4000,
	}
}

func BenchmarkEncodeDecode(b *testing.B) {
	packet := samplePing()
	var stream bytes.Buffer
	if err := gob.NewEncoder(&stream).Encode(packet); err != nil {
		b.Fatal(err)
	}
	size := 0
	for b.Loop() {
		payload, err := EncodePacket(packet)
		if err != nil {
			b.Fatal(err)
		}
		size = len(payload)
		if _, err := DecodePacket(payload); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes/packet")
	b.ReportMetric(float64(stream.Len()), "bytes/packet-with-descriptors")
}
