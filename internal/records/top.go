package records

import (
	"bytes"
	"slices"
)

// record is one record as a value.
type record [Size]byte

// Top keeps the greatest records of parts that are added one after the other.
// It is not safe for concurrent use.
type Top struct {
	k    int
	kept []record // greatest first, k at most
}

// NewTop returns a Top of the k greatest records.
func NewTop(k int) *Top {
	return &Top{k: max(k, 0)}
}

// Add takes in a part. It returns the records of the part that are among the
// greatest so far, and the greatest of the others; that one is nil if there are
// none. Records that were returned by an earlier call stay returned.
func (t *Top) Add(part []byte) (kept, dropped []byte) {
	added := sorted(part)
	merged := make([]record, 0, min(t.k, len(t.kept)+len(added)))
	former, own := 0, 0
	for len(merged) < t.k && (former < len(t.kept) || own < len(added)) {
		if own == len(added) || former < len(t.kept) && compare(t.kept[former], added[own]) >= 0 {
			merged = append(merged, t.kept[former])
			former++
			continue
		}
		merged = append(merged, added[own])
		own++
	}
	t.kept = merged
	for _, one := range added[:own] {
		kept = append(kept, one[:]...)
	}
	if own < len(added) {
		dropped = added[own][:]
	}
	return kept, dropped
}

// Covers reports whether greatest, the k greatest records of some parts, stays
// the same with a record that is not greater than the one given.
func Covers(greatest []byte, k int, dropped []byte) bool {
	if k <= 0 || len(dropped) == 0 {
		return true
	}
	if len(greatest) < k*Size {
		return false
	}
	return bytes.Compare(greatest[(k-1)*Size:k*Size], dropped) >= 0
}

// sorted returns the records of a part, greatest first.
func sorted(part []byte) []record {
	records := make([]record, 0, len(part)/Size)
	for ; len(part) >= Size; part = part[Size:] {
		records = append(records, record(part[:Size]))
	}
	slices.SortFunc(records, func(a, b record) int { return compare(b, a) })
	return records
}

func compare(a, b record) int { return bytes.Compare(a[:], b[:]) }
