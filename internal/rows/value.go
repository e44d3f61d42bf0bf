package rows

import (
	"cmp"
	"encoding/binary"
	"math"
	"strconv"
	"strings"
)

// NewNumber returns a number value.
func NewNumber(number float64) Value { return Value{Kind: Number, Number: number} }

// NewText returns a text value.
func NewText(text string) Value { return Value{Kind: Text, Text: text} }

// IsNull reports whether the value is null.
func (v Value) IsNull() bool { return v.Kind == Null }

// String returns the value in readable form: the number, the text or "null".
func (v Value) String() string {
	switch v.Kind {
	case Number:
		return strconv.FormatFloat(v.Number, 'g', -1, 64)
	case Text:
		return v.Text
	default:
		return "null"
	}
}

// Compare returns -1, 0 or 1. It defines a total order in which null precedes numbers and numbers
// precede texts. Numbers are ordered by value and texts by bytes. Negative zero equals zero.
func Compare(a, b Value) int {
	if a.Kind != b.Kind {
		return cmp.Compare(a.Kind, b.Kind)
	}
	switch a.Kind {
	case Number:
		return cmp.Compare(a.Number, b.Number)
	case Text:
		return strings.Compare(a.Text, b.Text)
	default:
		return 0
	}
}

// CompareRows compares rows lexicographically with Compare. A row precedes the rows of which it is
// a prefix.
func CompareRows(a, b Row) int {
	for i := 0; i < len(a) && i < len(b); i++ {
		if order := Compare(a[i], b[i]); order != 0 {
			return order
		}
	}
	return cmp.Compare(len(a), len(b))
}

// AppendKey appends a key encoding of the value to destination. Two values have the same encoding
// if and only if they are equal by Compare. The same holds for concatenations of several encodings.
func AppendKey(destination []byte, value Value) []byte {
	destination = append(destination, byte(value.Kind))
	switch value.Kind {
	case Number:
		number := value.Number + 0 // converts negative zero to zero
		return binary.BigEndian.AppendUint64(destination, math.Float64bits(number))
	case Text:
		destination = binary.AppendUvarint(destination, uint64(len(value.Text)))
		return append(destination, value.Text...)
	default:
		return destination
	}
}
