// Package records selects the greatest records of fixed size out of several
// parts.
package records

import (
	"bytes"
	"slices"
)

// Size is the size of a record in bytes.
const Size = 16

// Greatest returns the k greatest records of the parts, greatest first, in the
// order of their bytes. Equal records all count. A remainder of a part that is
// shorter than a record is none. The parts are not modified, and the result
// shares no memory with them.
func Greatest(k int, parts [][]byte) []byte {
	count := 0
	for _, part := range parts {
		count += len(part) / Size
	}
	all := make([][]byte, 0, count)
	for _, part := range parts {
		for ; len(part) >= Size; part = part[Size:] {
			all = append(all, part[:Size])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	k = min(max(k, 0), len(all))
	greatest := make([]byte, 0, k*Size)
	for _, record := range all[:k] {
		greatest = append(greatest, record...)
	}
	return greatest
}
