package merge

import "fmt"

// UnknownColumnError says that a statement names a column that the rows lack.
type UnknownColumnError struct {
	Column string
}

// Error implements error.
func (e *UnknownColumnError) Error() string { return fmt.Sprintf("merge: no column %q", e.Column) }

// TypeError says that a function cannot take a value.
type TypeError struct {
	// Item is the result column, such as sum(price).
	Item string
	// Value is the value in text form.
	Value string
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("merge: %s cannot take the text %q", e.Item, e.Value)
}

// RangeError says that a result is beyond the range of numbers.
type RangeError struct {
	Item string
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("merge: %s is beyond the range of numbers", e.Item)
}

// ColumnsError says that the table of a shard has other columns than it should.
type ColumnMismatchError struct {
	Shard    int
	Got      []string
	Expected []string
}

// Error implements error.
func (e *ColumnMismatchError) Error() string {
	return fmt.Sprintf("merge: shard %d has the columns %q, expected %q", e.Shard, e.Got, e.Expected)
}

// DuplicateShardError says that a shard was added twice.
type DuplicateShardError struct {
	Shard int
}

// Error implements error.
func (e *DuplicateShardError) Error() string {
	return fmt.Sprintf("merge: shard %d is merged already", e.Shard)
}
