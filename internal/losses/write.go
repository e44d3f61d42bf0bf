package losses

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteJSON writes the report as a JSON document.
func WriteJSON(writer io.Writer, report Report) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// maxRows limits the rows of each table. The table of seconds is not limited, as it is a time
// series.
const maxRows = 12

// WriteText writes the report as tables.
func WriteText(writer io.Writer, report Report) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	counted := report.Requests - report.NoRoute
	fmt.Fprintf(table, "%d requests, and %d without a route: %.1f lost\n", counted, report.NoRoute, report.Lost)
	if report.DroppedLines > 0 {
		fmt.Fprintf(table, "%d lines were not written for their rate: these requests are missing here\n", report.DroppedLines)
	}
	for _, section := range []struct {
		title   string
		groups  []Group
		maxRows int
	}{
		{"cause", report.ByCause, maxRows},
		{"route", report.ByRoute, maxRows},
		{"second", report.BySecond, len(report.BySecond)},
		{"node", report.ByNode, maxRows},
	} {
		fmt.Fprintf(table, "\n%s\trequests\tlost\t\n", section.title)
		for _, group := range section.groups[:min(len(section.groups), section.maxRows)] {
			fmt.Fprintf(table, "%s\t%d\t%.2f\t\n", group.Name, group.Requests, group.Lost)
		}
	}
	fmt.Fprintf(table, "\nworst request\tnode\tlost\tcause\t\n")
	for _, worst := range report.WorstRequests {
		fmt.Fprintf(table, "%s\t%s\t%.2f\t%s\t\n", worst.RequestID, worst.Node, worst.Lost, worst.Cause)
	}
	return table.Flush()
}
