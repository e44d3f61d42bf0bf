package losses

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteJSON writes the report as one JSON document.
func WriteJSON(to io.Writer, report Report) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// mostRows bounds the rows of a table, but for the seconds.
const mostRows = 12

// WriteText writes the report as tables.
func WriteText(to io.Writer, report Report) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	counted := report.Requests - report.NoRoute
	fmt.Fprintf(table, "%d requests, and %d without a route: %.1f lost\n", counted, report.NoRoute, report.Lost)
	if report.Dropped > 0 {
		fmt.Fprintf(table, "%d lines were not written for their rate: these requests are missing here\n", report.Dropped)
	}
	for _, one := range []struct {
		title string
		parts []Part
		most  int
	}{
		{"cause", report.ByCause, mostRows},
		{"route", report.ByRoute, mostRows},
		{"second", report.BySecond, len(report.BySecond)},
		{"node", report.ByNode, mostRows},
	} {
		fmt.Fprintf(table, "\n%s\trequests\tlost\t\n", one.title)
		for _, part := range one.parts[:min(len(one.parts), one.most)] {
			fmt.Fprintf(table, "%s\t%d\t%.2f\t\n", part.Name, part.Requests, part.Lost)
		}
	}
	fmt.Fprintf(table, "\nworst request\tnode\tlost\tcause\t\n")
	for _, one := range report.Worst {
		fmt.Fprintf(table, "%s\t%s\t%.2f\t%s\t\n", one.RequestID, one.Node, one.Lost, one.Cause)
	}
	return table.Flush()
}
