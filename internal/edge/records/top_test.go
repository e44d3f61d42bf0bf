package records

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// drawParts returns parts with many equal records, and with trailing bytes.
func drawParts(t *rapid.T) [][]byte {
	part := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 5*Size+Size/2)
	return rapid.SliceOfN(part, 0, 6).Draw(t, "parts")
}

// TestTopKeepsGreatestRecords checks that the parts without the records that Add sorted out have
// the same greatest records as the whole parts.
func TestTopKeepsGreatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := drawParts(t)
		k := rapid.IntRange(0, 8).Draw(t, "k")
		top := NewTop(k, nil)
		var thinned [][]byte
		for _, part := range parts {
			kept, _ := top.Add(part)
			thinned = append(thinned, kept)
		}
		if got, want := Greatest(k, thinned), Greatest(k, parts); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

// TestCoveredResultIsComplete leaves some parts out, as a query does that ends before all shards
// have answered. If Covers holds for the dropped records of all parts in use, the greatest records
// must be those of the whole parts.
func TestCoveredResultIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := drawParts(t)
		k := rapid.IntRange(0, 8).Draw(t, "k")
		floor := rapid.SliceOfN(rapid.ByteRange(0, 2), Size, Size).Draw(t, "floor")
		top := NewTop(k, floor)
		var whole, thinned, dropped [][]byte
		for _, part := range parts {
			kept, rest := top.Add(part)
			greatest := Max(rest)
			if rapid.Bool().Draw(t, "used") {
				whole, thinned, dropped = append(whole, part), append(thinned, kept), append(dropped, greatest)
			}
		}
		got := Greatest(k, thinned)
		for _, record := range dropped {
			if !Covers(got, k, record) {
				return
			}
		}
		if want := Greatest(k, whole); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

func TestTopDropsSmallerRecords(t *testing.T) {
	repeat := func(values ...byte) (part []byte) {
		for _, value := range values {
			part = append(part, bytes.Repeat([]byte{value}, Size)...)
		}
		return part
	}
	top := NewTop(2, nil)
	if kept, dropped := top.Add(repeat(1, 5, 3)); !bytes.Equal(kept, repeat(5, 3)) || !bytes.Equal(dropped, repeat(1)) {
		t.Errorf("first part: got kept %x, dropped %x; want 5 and 3 kept, 1 dropped", kept, dropped)
	}
	if kept, dropped := top.Add(repeat(4, 2)); !bytes.Equal(kept, repeat(4)) || !bytes.Equal(dropped, repeat(2)) {
		t.Errorf("second part: got kept %x, dropped %x; want 4 kept, 2 dropped", kept, dropped)
	}
	if kept, dropped := top.Add(repeat(9)); !bytes.Equal(kept, repeat(9)) || dropped != nil {
		t.Errorf("third part: got kept %x, dropped %x; want 9 kept, none dropped", kept, dropped)
	}
	top = NewTop(2, repeat(3))
	if kept, dropped := top.Add(repeat(2, 3)); !bytes.Equal(kept, repeat(3)) || !bytes.Equal(dropped, repeat(2)) {
		t.Errorf("floor 3: got kept %x, dropped %x; want 3 kept, 2 dropped", kept, dropped)
	}
	if got := FilterBelow(repeat(1, 4, 3), repeat(3)); !bytes.Equal(got, repeat(4, 3)) {
		t.Errorf("records not below 3: got %x, want 4 and 3", got)
	}
}

// TestAddReturnsEveryRecord checks that Add returns each whole record of a part, either as kept or
// as remaining.
func TestAddReturnsEveryRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		top := NewTop(rapid.IntRange(0, 4).Draw(t, "k"), rapid.SliceOfN(rapid.ByteRange(0, 2), Size, Size).Draw(t, "floor"))
		for _, part := range drawParts(t) {
			kept, rest := top.Add(part)
			all := Greatest(len(part), [][]byte{kept, rest})
			if want := Greatest(len(part), [][]byte{part}); !bytes.Equal(all, want) {
				t.Fatalf("got %x, want %x", all, want)
			}
		}
	})
}
