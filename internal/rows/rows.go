// Package rows holds the typed values, rows and tables that leaves return and
// nodes of the self-hosted deployment merge, and their JSON form, which it owns. It relies on
// no other package of this module.
package rows

// Kind is the type of a Value.
type Kind uint8

// The kinds of values. Null is the zero value.
const (
	Null Kind = iota
	Number
	Text
)

// Value is one cell: a number, a text or null. In JSON it is a number, a
// string or null.
type Value struct {
	Kind   Kind
	Number float64
	Text   string
}

// Row is one row; its values are in the order of the table's columns.
type Row []Value

// Table is a set of rows under named columns.
type Table struct {
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
}
