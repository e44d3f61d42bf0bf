package records

import (
	"bytes"
	"slices"
)

// record is a record as a comparable value.
type record [Size]byte

// Top keeps the greatest records of parts that are added one after the other. It is not safe for
// concurrent use.
type Top struct {
	k     int
	floor []byte
	kept  []record // greatest first, at most k
}

// NewTop returns a Top of the k greatest records that are not below a floor; a nil floor excludes
// none.
func NewTop(k int, floor []byte) *Top {
	return &Top{k: max(k, 0), floor: floor}
}

// Add adds a part. It returns the records of the part that are among the greatest so far, and the
// remaining ones. Records returned by an earlier call are not revoked.
func (t *Top) Add(part []byte) (kept, rest []byte) {
	added, excluded := t.splitPart(part)
	counted := t.merge(added)
	for _, record := range added[:counted] {
		kept = append(kept, record[:]...)
	}
	rest = excluded
	for _, record := range added[counted:] {
		rest = append(rest, record[:]...)
	}
	return kept, rest
}

// splitPart returns the records of a part that may be among the greatest, greatest first, and the
// others.
func (t *Top) splitPart(part []byte) (added []record, excluded []byte) {
	for ; len(part) >= Size; part = part[Size:] {
		if t.excludes(part[:Size]) {
			excluded = append(excluded, part[:Size]...)
			continue
		}
		added = append(added, record(part[:Size]))
	}
	slices.SortFunc(added, func(a, b record) int { return compare(b, a) })
	return added, excluded
}

// excludes reports whether a record can no longer be among the greatest.
func (t *Top) excludes(candidate []byte) bool {
	if len(t.floor) > 0 && bytes.Compare(candidate, t.floor) < 0 {
		return true
	}
	return len(t.kept) == t.k && (t.k == 0 || bytes.Compare(candidate, t.kept[t.k-1][:]) <= 0)
}

// merge adds sorted records, and returns how many of them are kept.
func (t *Top) merge(added []record) int {
	merged := make([]record, 0, min(t.k, len(t.kept)+len(added)))
	keptIndex, addedIndex := 0, 0
	for len(merged) < t.k && (keptIndex < len(t.kept) || addedIndex < len(added)) {
		if addedIndex == len(added) || keptIndex < len(t.kept) && compare(t.kept[keptIndex], added[addedIndex]) >= 0 {
			merged = append(merged, t.kept[keptIndex])
			keptIndex++
			continue
		}
		merged = append(merged, added[addedIndex])
		addedIndex++
	}
	t.kept = merged
	return addedIndex
}

// Max returns the greatest record of a part; nil if it has none.
func Max(part []byte) []byte {
	var greatest []byte
	for ; len(part) >= Size; part = part[Size:] {
		if greatest == nil || bytes.Compare(part[:Size], greatest) > 0 {
			greatest = part[:Size]
		}
	}
	return greatest
}

// FilterBelow returns the records of a part that are not below a floor; a nil floor excludes none.
func FilterBelow(part, floor []byte) []byte {
	var above []byte
	for ; len(part) >= Size; part = part[Size:] {
		if len(floor) == 0 || bytes.Compare(part[:Size], floor) >= 0 {
			above = append(above, part[:Size]...)
		}
	}
	return above
}

// Below returns the records of a part that are below a limit.
func Below(part, limit []byte) []byte {
	var below []byte
	for ; len(part) >= Size; part = part[Size:] {
		if bytes.Compare(part[:Size], limit) < 0 {
			below = append(below, part[:Size]...)
		}
	}
	return below
}

// Covers reports whether greatest, the k greatest records of some parts, remains correct if a
// record no greater than dropped is added.
func Covers(greatest []byte, k int, dropped []byte) bool {
	if k <= 0 || len(dropped) == 0 {
		return true
	}
	if len(greatest) < k*Size {
		return false
	}
	return bytes.Compare(greatest[(k-1)*Size:k*Size], dropped) >= 0
}

func compare(a, b record) int { return bytes.Compare(a[:], b[:]) }
