package rows

import (
	"math"
	"testing"
)

// TestKeyHashIsStable guards against a change of the hash function: leaves assign rows to shards by
// these hashes.
func TestKeyHashIsStable(t *testing.T) {
	cases := []struct {
		value Value
		want  uint64
	}{
		{Value{}, 0xe934a84adb052768},
		{Value{Kind: Number, Number: 17}, 0x90d1a9ec901b0bc9},
		{Value{Kind: Text, Text: "Q-17"}, 0x602b5d67494b0e33},
	}
	for _, c := range cases {
		if got := KeyHash(c.value); got != c.want {
			t.Errorf("KeyHash(%+v) = %#x, want %#x", c.value, got, c.want)
		}
	}
	if KeyHash(Value{Kind: Number, Number: math.Copysign(0, -1)}) != KeyHash(Value{Kind: Number}) {
		t.Error("KeyHash(-0) != KeyHash(0), want equal hashes")
	}
	if KeyHash(Value{Kind: Number, Number: 17}) == KeyHash(Value{Kind: Text, Text: "17"}) {
		t.Error("KeyHash(17) == KeyHash('17'), want different hashes")
	}
}
