package peer_test

import (
	"bytes"
	"encoding/gob"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/peer"
)

type nested struct {
	Name string
	List []uint64
}

type message struct {
	Number int64
	Part   *nested
	Parts  [][]byte
}

func TestCodecRoundTrip(t *testing.T) {
	codec := peer.NewCodec(7, message{Number: 1})
	other := peer.NewCodec(8, message{Number: 1})
	rapid.Check(t, func(t *rapid.T) {
		want := message{Number: rapid.Int64().Draw(t, "number")}
		if rapid.Bool().Draw(t, "with part") {
			want.Part = &nested{Name: rapid.String().Draw(t, "name"), List: rapid.SliceOfN(rapid.Uint64(), 1, 40).Draw(t, "list")}
		}
		for range rapid.IntRange(0, 3).Draw(t, "parts") {
			want.Parts = append(want.Parts, rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "bytes"))
		}
		encoded, err := codec.Encode(&want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := codec.Decode(encoded)
		if err != nil || !reflect.DeepEqual(*got, want) {
			t.Fatalf("got %+v, error %v, want %+v", got, err, want)
		}
		if _, err := other.Decode(encoded); !errors.Is(err, peer.ErrFormat) {
			t.Fatalf("message of another version: got error %v, want %v", err, peer.ErrFormat)
		}
		var described bytes.Buffer
		if err := gob.NewEncoder(&described).Encode(&want); err != nil || described.Len() < len(encoded)+50 {
			t.Fatalf("got %d encoded bytes and %d with the type description (error %v), want at least 50 fewer",
				len(encoded), described.Len(), err)
		}
	})
}

func FuzzCodecDecode(f *testing.F) {
	codec := peer.NewCodec(7, message{Number: 1})
	encoded, _ := codec.Encode(&message{Number: 5, Part: &nested{Name: "a"}})
	f.Add(encoded)
	f.Add([]byte{7})
	f.Add([]byte{7, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := codec.Decode(data)
		if err == nil && value == nil {
			t.Fatal("got neither a value nor an error, want one of them")
		}
	})
}
