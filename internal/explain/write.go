package explain

import (
	"encoding/json"
	"fmt"
	"io"
)

// timeOfDay is how the time of a step is written.
const timeOfDay = "15:04:05.000"

// WriteText writes a timeline for people.
func WriteText(to io.Writer, timeline Timeline) error {
	for _, step := range timeline.Steps {
		if _, err := fmt.Fprintf(to, "%s  %-20s %-8s %s\n", step.Time.Format(timeOfDay), step.Node, step.Kind, step.Text); err != nil {
			return err
		}
	}
	if timeline.Dropped == 0 {
		return nil
	}
	_, err := fmt.Fprintf(to, "These nodes dropped %d lines of requests for their rate.\n", timeline.Dropped)
	return err
}

// WriteJSON writes a timeline as one JSON document.
func WriteJSON(to io.Writer, timeline Timeline) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return encoder.Encode(timeline)
}
