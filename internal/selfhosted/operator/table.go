package operator

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/micaplank/micaplank/internal/rows"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// writeTable writes a header and lines of cells in aligned columns.
func writeTable(output io.Writer, header []string, lines [][]string) {
	writer := tabwriter.NewWriter(output, 0, 0, columnGap, ' ', 0)
	writeCells(writer, header)
	for _, line := range lines {
		writeCells(writer, line)
	}
	writer.Flush()
}

// writeCells writes one line of cells, separated by tabs. The last cell has no tab after it,
// since tabwriter would pad it with spaces.
func writeCells(writer io.Writer, cells []string) {
	escaped := make([]string, len(cells))
	for i, cell := range cells {
		escaped[i] = quoteUnprintable(cell)
	}
	fmt.Fprintln(writer, strings.Join(escaped, "\t"))
}

// quoteUnprintable quotes a text with unprintable characters, which could break the table or
// control the terminal. An empty text becomes "-".
func quoteUnprintable(text string) string {
	for _, character := range text {
		if !unicode.IsPrint(character) {
			return strconv.Quote(text)
		}
	}
	if text == "" {
		return "-"
	}
	return text
}

// writeRows writes a table of values under its column names.
func writeRows(output io.Writer, columns []string, table []rows.Row) {
	lines := make([][]string, len(table))
	for i, row := range table {
		for _, value := range row {
			lines[i] = append(lines[i], value.String())
		}
	}
	writeTable(output, columns, lines)
}

func formatYesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// formatShardRanges formats ascending shard numbers as ranges, such as 0-3,7.
func formatShardRanges(shards []int) string {
	var parts []string
	for start := 0; start < len(shards); {
		end := start
		for end+1 < len(shards) && shards[end+1] == shards[end]+1 {
			end++
		}
		part := strconv.Itoa(shards[start])
		if end > start {
			part += "-" + strconv.Itoa(shards[end])
		}
		parts = append(parts, part)
		start = end + 1
	}
	return strings.Join(parts, ",")
}
