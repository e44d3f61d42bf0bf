package settings

import (
	"io"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"
)

// Print writes the settings as TOML with a comment for each key. What it
// writes can be loaded again.
func Print(writer io.Writer, settings Settings) error {
	encoder := toml.NewEncoder(writer)
	encoder.SetArraysMultiline(false)
	return oops.In("settings").With("step", "settings.print").Wrap(encoder.Encode(settings))
}

// Example returns the settings that are committed as examples/micaplank.toml.
func Example() Settings {
	example := Defaults()
	example.Name = "node-a1"
	example.Zone = "a"
	return example
}
