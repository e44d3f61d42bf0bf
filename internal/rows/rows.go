// Package rows defines the typed values, rows and tables that leaves return and that nodes of the
// self-hosted deployment merge. It also defines their JSON form. It depends on no other package of
// this module.
package rows

// Kind is the type of a Value.
type Kind uint8

// The kinds of values. Null is the zero value.
const (
	Null Kind = iota
	Number
	Text
)

// Value is the content of one table cell: a number, a text or null. Its JSON form is a number, a
// string or null.
type Value struct {
	Kind   Kind
	Number float64
	Text   string
}

// Row holds the values of one row in the order of the table's columns.
type Row []Value

// Table is a list of rows with named columns.
type Table struct {
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
}
