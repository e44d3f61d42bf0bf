package settings

import (
	"io"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"
)

// Print writes the settings as TOML with the comments of the fields. Load accepts the output.
func Print(writer io.Writer, settings Settings) error {
	encoder := toml.NewEncoder(writer)
	encoder.SetArraysMultiline(false)
	return oops.In("settings").With("step", "settings.print").Wrap(encoder.Encode(settings))
}

// Example returns the settings of examples/micaplank.toml.
func Example() Settings {
	example := Defaults()
	example.Name = "node-a1"
	example.Zone = "a"
	return example
}
