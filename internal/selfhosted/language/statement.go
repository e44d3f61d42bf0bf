// Package language is the query and command language: it turns text into
// typed statements and typed statements into canonical text.
//
// A statement ends at the end of its line or at a semicolon; a comment runs
// from "--" to the end of the line. Keywords may be written in either case.
//
// The package is pure. It owns grammar and error texts, and relies on catalog for
// the commands that change it and on rows for values.
package language

import (
	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rows"
)

// Statement is one of *ChangeStatement, *ShowStatement, *Select and *Insert.
type Statement interface {
	// String returns the canonical text, which parses back to an equal value.
	String() string
	statement()
}

// ChangeStatement changes the catalog.
type ChangeStatement struct {
	Command catalog.Command
	// IfRevision, if not nil, is the only revision of the catalog on which the
	// change may be made.
	IfRevision *uint64
}

// ShowSubject says what a show statement lists.
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

// ShowStatement lists a part of the catalog or of the membership.
type ShowStatement struct {
	Subject ShowSubject
	// Service restricts leaves and classes to one service; empty means all.
	Service string
}

// Select reads rows of a service.
type Select struct {
	// Items are the columns of the result; none means every column ("*").
	Items   []Item
	Service string
	// Where restricts the rows; nil means all. See Select.Matches.
	Where Where
	// GroupBy lists the columns of the groups.
	GroupBy []string
	// OrderBy sorts the result by some of its columns.
	OrderBy []Order
	// Limit is the largest number of rows of the result; zero means no limit.
	Limit int
}

// Function is an aggregate function.
type Function string

// The aggregate functions. NoFunction marks a plain column.
const (
	NoFunction Function = ""
	Count      Function = "count"
	Sum        Function = "sum"
	Minimum    Function = "min"
	Maximum    Function = "max"
	Average    Function = "avg"
)

// AllColumns stands for the argument of count(*).
const AllColumns = "*"

// Item is one column of a result: a plain column or an aggregate of one. Only
// Count may have AllColumns as its column; count(column) counts the values
// that are not null.
type Item struct {
	Function Function
	Column   string
}

// Order sorts by one item of the result.
type Order struct {
	Item       Item
	Descending bool
}

// Insert adds one row to a service.
type Insert struct {
	Service string
	Columns []string
	// Values are in the order of Columns, and as many.
	Values []rows.Value
}

func (*ChangeStatement) statement() {}
func (*ShowStatement) statement()   {}
func (*Select) statement()          {}
func (*Insert) statement()          {}

// Grouped says whether the result has one row for each group: there is an
// aggregate or a group by. Without group by, all rows form one group.
func (s *Select) Grouped() bool {
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

// Matches says whether the where clause takes the row; without one, it does.
func (s *Select) Matches(columns Columns) bool {
	return s.Where == nil || s.Where.Matches(columns)
}

// KeyEquality returns the value to which the where clause pins the column: the
// clause is, or is a conjunction that contains, "column = value".
func (s *Select) KeyEquality(column string) (rows.Value, bool) {
	return findEqualityValue(s.Where, column)
}

// Value returns the value that is inserted into the column.
func (i *Insert) Value(column string) (rows.Value, bool) {
	for position, name := range i.Columns {
		if name == column {
			return i.Values[position], true
		}
	}
	return rows.Value{}, false
}
