package wire

import (
	"bytes"
	"fmt"
	"strconv"
)

// Integer is a 64-bit integer. It is encoded in JSON as a string, as the gateway does, and decoded
// from a string or a number.
type Integer int64

// MarshalJSON implements json.Marshaler.
func (i Integer) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Integer) UnmarshalJSON(text []byte) error {
	if bytes.Equal(text, []byte("null")) {
		return nil
	}
	digits := text
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		digits = text[1 : len(text)-1]
	}
	value, err := strconv.ParseInt(string(digits), 10, 64)
	if err != nil {
		return fmt.Errorf("expected a 64-bit integer, found %s", text)
	}
	*i = Integer(value)
	return nil
}
