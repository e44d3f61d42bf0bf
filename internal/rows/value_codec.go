package rows

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
)

// NumberError reports a number that JSON cannot represent: an infinity or NaN.
type NumberError struct {
	Number float64
}

// Error implements error.
func (e *NumberError) Error() string {
	return fmt.Sprintf("rows: encode number %v: JSON cannot represent it", e.Number)
}

// ValueError reports a JSON text that is not a Value.
type ValueError struct {
	// JSON is the text, truncated to maximumQuotedJSON bytes.
	JSON string
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("rows: decode value %q: expected a number, a string or null", e.JSON)
}

// maximumQuotedJSON is the maximum length in bytes of the JSON text that an error quotes. It keeps
// log lines readable.
const maximumQuotedJSON = 40

// MarshalJSON implements json.Marshaler. Like encoding/json, it replaces invalid UTF-8 in texts.
// Numbers must be finite.
func (v Value) MarshalJSON() ([]byte, error) {
	return appendValue(nil, v)
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *Value) UnmarshalJSON(data []byte) error {
	data = bytes.TrimSpace(data)
	switch {
	case len(data) == 0:
		return &ValueError{}
	case string(data) == "null":
		*v = Value{}
		return nil
	case data[0] == '"':
		text, err := decodeText(data)
		*v = NewText(text)
		return err
	case data[0] == '-' || (data[0] >= '0' && data[0] <= '9'):
		number, err := strconv.ParseFloat(string(data), 64)
		*v = NewNumber(number)
		return err
	default:
		return &ValueError{JSON: string(data[:min(len(data), maximumQuotedJSON)])}
	}
}

func appendValue(destination []byte, value Value) ([]byte, error) {
	switch value.Kind {
	case Number:
		return appendNumber(destination, value.Number)
	case Text:
		return appendText(destination, value.Text)
	default:
		return append(destination, "null"...), nil
	}
}

// A number from minimumPlainNumber up to but excluding plainNumberLimit is encoded without an
// exponent. encoding/json uses the same bounds.
const (
	minimumPlainNumber = 1e-6
	plainNumberLimit   = 1e21
)

func appendNumber(destination []byte, number float64) ([]byte, error) {
	if math.IsInf(number, 0) || math.IsNaN(number) {
		return destination, &NumberError{Number: number}
	}
	format := byte('f')
	if magnitude := math.Abs(number); magnitude != 0 && (magnitude < minimumPlainNumber || magnitude >= plainNumberLimit) {
		format = 'e'
	}
	return strconv.AppendFloat(destination, number, format, -1, 64), nil
}

func appendText(destination []byte, text string) ([]byte, error) {
	if needsNoEscape(text) {
		destination = append(destination, '"')
		destination = append(destination, text...)
		return append(destination, '"'), nil
	}
	quoted, err := json.Marshal(text)
	return append(destination, quoted...), err
}

// needsNoEscape reports whether the text can appear unchanged between JSON quotes.
func needsNoEscape[T string | []byte](text T) bool {
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

func decodeText(data []byte) (string, error) {
	if inner := data[1:max(len(data)-1, 1)]; needsNoEscape(inner) {
		return string(inner), nil
	}
	var text string
	err := json.Unmarshal(data, &text)
	return text, err
}
