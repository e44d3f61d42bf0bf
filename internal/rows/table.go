package rows

import "slices"

// Memory sizes in bytes that Size assumes.
const (
	valueBytes = 32 // kind, number and string header
	rowBytes   = 24 // slice header
)

// Column returns the index of the named column, or -1 if there is no such column.
func (t Table) Column(name string) int {
	return slices.Index(t.Columns, name)
}

// Size returns an estimate of the table's memory in bytes.
func (t Table) Size() int {
	size := 0
	for _, column := range t.Columns {
		size += valueBytes + len(column)
	}
	for _, row := range t.Rows {
		size += rowBytes + len(row)*valueBytes
		for _, value := range row {
			size += len(value.Text)
		}
	}
	return size
}

// Clone returns a deep copy of the table.
func (t Table) Clone() Table {
	clone := Table{Columns: slices.Clone(t.Columns), Rows: make([]Row, len(t.Rows))}
	for i, row := range t.Rows {
		clone.Rows[i] = slices.Clone(row)
	}
	return clone
}

// Equal reports whether both tables have the same columns and rows in the same order.
func (t Table) Equal(other Table) bool {
	return slices.Equal(t.Columns, other.Columns) &&
		slices.EqualFunc(t.Rows, other.Rows, func(a, b Row) bool { return CompareRows(a, b) == 0 })
}
