// Package language implements the query and command language. It parses text to typed statements
// and formats statements as canonical text.
//
// A statement ends at the end of its line or at a semicolon. A comment extends from "--" to the end
// of the line. Keywords are case-insensitive.
//
// The package performs no I/O and keeps no state. It defines the grammar and the error texts.
// Package catalog defines the commands and package rows the values.
package language

import (
	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rows"
)

// Statement is one of *ChangeStatement, *ShowStatement, *Select and *Insert.
type Statement interface {
	// String returns the canonical text, which parses to an equal statement.
	String() string
	statement()
}

// ChangeStatement changes the catalog.
type ChangeStatement struct {
	Command catalog.Command
	// IfRevision, if not nil, is the revision that the catalog must have for the change to be
	// applied.
	IfRevision *uint64
}

// ShowSubject names the objects that a show statement lists.
type ShowSubject string

// The subjects of show statements.
const (
	ShowServices ShowSubject = "services"
	ShowLeaves   ShowSubject = "leaves"
	ShowClasses  ShowSubject = "classes"
	ShowChanges  ShowSubject = "changes"
	ShowVoters   ShowSubject = "voters"
	ShowNodes    ShowSubject = "nodes"
)

// ShowStatement lists objects of the catalog or the members of the cluster.
type ShowStatement struct {
	Subject ShowSubject
	// Service restricts leaves and classes to one service. Empty means all services.
	Service string
}

// Select queries the rows of a service.
type Select struct {
	// Items are the columns of the result. An empty list means all columns ("*").
	Items   []Item
	Service string
	// Where is the condition on the rows. Nil matches all rows.
	Where Condition
	// GroupBy lists the columns by which rows are grouped.
	GroupBy []string
	// OrderBy lists the items by which the result is sorted.
	OrderBy []Order
	// Limit is the maximum number of rows in the result. Zero means no limit.
	Limit int
}

// Function is an aggregate function.
type Function string

// Aggregate functions. NoFunction stands for a plain column.
const (
	NoFunction Function = ""
	Count      Function = "count"
	Sum        Function = "sum"
	Minimum    Function = "min"
	Maximum    Function = "max"
	Average    Function = "avg"
)

// AllColumns is the argument of count(*).
const AllColumns = "*"

// Item is one column of a result: a plain column or an aggregate of a column. Only Count may have
// AllColumns as its column. Count of any other column counts the values that are not null.
type Item struct {
	Function Function
	Column   string
}

// Order is one term of an order by clause.
type Order struct {
	Item       Item
	Descending bool
}

// Insert inserts one row into a service.
type Insert struct {
	Service string
	Columns []string
	// Values has one value for each column, in the order of Columns.
	Values []rows.Value
}

func (*ChangeStatement) statement() {}
func (*ShowStatement) statement()   {}
func (*Select) statement()          {}
func (*Insert) statement()          {}

// IsGrouped reports whether the result has one row for each group, which is the case if the
// statement has an aggregate or a group by clause. Without a group by clause, all rows form one
// group.
func (s *Select) IsGrouped() bool {
	if len(s.GroupBy) > 0 {
		return true
	}
	for _, item := range s.Items {
		if item.Function != NoFunction {
			return true
		}
	}
	return false
}

// Matches reports whether the row satisfies the where clause. Without a where clause, every row
// matches.
func (s *Select) Matches(columns ColumnLookup) bool {
	return s.Where == nil || s.Where.Matches(columns)
}

// KeyEquality returns the value that the column has in every matching row, if the where clause is
// "column = value" or a conjunction that contains this comparison.
func (s *Select) KeyEquality(column string) (rows.Value, bool) {
	return findEqualityValue(s.Where, column)
}

// Value returns the value for the named column and reports whether the statement has that column.
func (i *Insert) Value(column string) (rows.Value, bool) {
	for position, name := range i.Columns {
		if name == column {
			return i.Values[position], true
		}
	}
	return rows.Value{}, false
}
