// Package records selects the greatest records of fixed size from several parts, and determines
// whether a result is complete although records were dropped from its parts.
//
// Its only state is that of a Top. It compares records by their bytes, and imports no other package
// of the module.
package records

// Size is the size of a record in bytes.
const Size = 16

// Greatest returns the k greatest records of the parts, greatest first, in the order of their
// bytes. Equal records all count. Trailing bytes of a part that are shorter than a record are
// ignored. The parts are not modified, and the result shares no memory with them.
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
