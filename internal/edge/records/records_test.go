package records

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestGreatest compares the result with the definition: all whole records, sorted.
func TestGreatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 5*Size+Size/2)
		parts := rapid.SliceOfN(part, 0, 4).Draw(t, "parts")
		k := rapid.IntRange(-1, 8).Draw(t, "k")
		var all []string
		for _, drawn := range parts {
			for offset := 0; offset+Size <= len(drawn); offset += Size {
				all = append(all, string(drawn[offset:offset+Size]))
			}
		}
		slices.Sort(all)
		slices.Reverse(all)
		var want []byte
		for _, record := range all[:min(max(k, 0), len(all))] {
			want = append(want, record...)
		}
		if got := Greatest(k, parts); !bytes.Equal(got, want) {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}

// BenchmarkGreatest50Of30 merges 30 parts of 62 records.
func BenchmarkGreatest50Of30(b *testing.B) {
	parts := make([][]byte, 30)
	for index := range parts {
		parts[index] = bytes.Repeat([]byte{byte(index), 7, 5, 3}, 250)
	}
	for b.Loop() {
		Greatest(50, parts)
	}
}
