// Package records selects the greatest records of fixed size out of several parts, and
// says whether an answer is complete though records were left out of its parts.
//
// It owns no state but that of a Top, reads nothing of a record but the order of its bytes,
// and relies on no other package.
package records

// Size is the size of a record in bytes.
const Size = 16

// Greatest returns the k greatest records of the parts, greatest first, in the
// order of their bytes. Equal records all count. A remainder of a part that is
// shorter than a record is none. The parts are not modified, and the result
// shares no memory with them.
func Greatest(k int, parts [][]byte) []byte {
	top := NewTop(k, nil)
	for _, part := range parts {
		added, _ := top.splitPart(part)
		top.merge(added)
	}
	greatest := make([]byte, 0, len(top.kept)*Size)
	for _, record := range top.kept {
		greatest = append(greatest, record[:]...)
	}
	return greatest
}
