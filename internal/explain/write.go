package explain

import (
	"encoding/json"
	"fmt"
	"io"
)

// timeOfDay is the layout for the time of a step.
const timeOfDay = "15:04:05.000"

// WriteText writes a timeline as text with one line per step.
func WriteText(writer io.Writer, timeline Timeline) error {
	for _, step := range timeline.Steps {
		if _, err := fmt.Fprintf(writer, "%s  %-20s %-8s %s\n", step.Time.Format(timeOfDay), step.Node, step.Kind, step.Text); err != nil {
			return err
		}
	}
	if timeline.DroppedLines == 0 {
		return nil
	}
	_, err := fmt.Fprintf(writer, "These nodes dropped %d lines of requests for their rate.\n", timeline.DroppedLines)
	return err
}

// WriteJSON writes a timeline as a JSON document.
func WriteJSON(writer io.Writer, timeline Timeline) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(timeline)
}
