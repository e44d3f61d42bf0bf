package merge

import "fmt"

// UnknownColumnError is returned for a statement that names a column that the table does
// not have.
type UnknownColumnError struct {
	Column string
}

// Error names the column.
func (e *UnknownColumnError) Error() string { return fmt.Sprintf("merge: no column %q", e.Column) }

// TypeError is returned for a value that an aggregate function does not accept.
type TypeError struct {
	// Item is the result column, such as sum(price).
	Item string
	// Value is the text of the value.
	Value string
}

// Error names the aggregate and the value.
func (e *TypeError) Error() string {
	return fmt.Sprintf("merge: %s cannot take the text %q", e.Item, e.Value)
}

// RangeError is returned for an aggregate that is infinite or not a number.
type RangeError struct {
	Item string
}

// Error names the aggregate.
func (e *RangeError) Error() string {
	return fmt.Sprintf("merge: %s is beyond the range of numbers", e.Item)
}

// ColumnMismatchError is returned for a shard whose table does not have the expected
// columns.
type ColumnMismatchError struct {
	Shard    int
	Got      []string
	Expected []string
}

// Error names the shard and both lists of columns.
func (e *ColumnMismatchError) Error() string {
	return fmt.Sprintf("merge: shard %d has the columns %q, expected %q", e.Shard, e.Got, e.Expected)
}

// DuplicateShardError is returned for a shard that was already added.
type DuplicateShardError struct {
	Shard int
}

// Error names the shard.
func (e *DuplicateShardError) Error() string {
	return fmt.Sprintf("merge: shard %d is merged already", e.Shard)
}
