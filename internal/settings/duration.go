package settings

import (
	"fmt"
	"strings"
	"time"
)

// Duration is a time.Duration that TOML represents as text, such as "250ms".
type Duration time.Duration

// Duration returns the value as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }

// String implements fmt.Stringer. It omits trailing zero minutes and seconds: "1h" instead of
// "1h0m0s".
func (d Duration) String() string {
	text := time.Duration(d).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("expected a duration such as \"250ms\" or \"5s\", found %q", text)
	}
	*d = Duration(value)
	return nil
}
