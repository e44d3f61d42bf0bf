package rows

import (
	"math"
	"testing"
)

// TestKeyHashIsStable pins the values: leaves place their rows by them.
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
		t.Error("-0 and 0 have different hashes")
	}
	if KeyHash(Value{Kind: Number, Number: 17}) == KeyHash(Value{Kind: Text, Text: "17"}) {
		t.Error("17 and '17' have the same hash")
	}
}
