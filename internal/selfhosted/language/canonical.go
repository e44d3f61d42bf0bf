package language

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/micaplank/micaplank/internal/rows"
)

// String implements Statement.
func (c *ChangeStatement) String() string {
	if c.IfRevision == nil {
		return c.Command.String()
	}
	return fmt.Sprintf("%s if revision %d", c.Command, *c.IfRevision)
}

// String implements Statement.
func (s *ShowStatement) String() string {
	if s.Service == "" {
		return "show " + string(s.Subject)
	}
	return "show " + string(s.Subject) + " of " + s.Service
}

// String implements Statement.
func (s *Select) String() string {
	var text strings.Builder
	text.WriteString("select ")
	if len(s.Items) == 0 {
		text.WriteString("*")
	}
	text.WriteString(joinFormatted(s.Items, Item.String))
	text.WriteString(" from " + s.Service)
	if s.Where != nil {
		text.WriteString(" where " + s.Where.String())
	}
	if len(s.GroupBy) > 0 {
		text.WriteString(" group by " + strings.Join(s.GroupBy, ", "))
	}
	if len(s.OrderBy) > 0 {
		text.WriteString(" order by " + joinFormatted(s.OrderBy, Order.String))
	}
	if s.Limit > 0 {
		text.WriteString(" limit " + strconv.Itoa(s.Limit))
	}
	return text.String()
}

// String returns the text of the item. The result's column has this text as its name.
func (i Item) String() string {
	if i.Function == NoFunction {
		return i.Column
	}
	return string(i.Function) + "(" + i.Column + ")"
}

// String returns the text of one term of an order by clause.
func (o Order) String() string {
	if o.Descending {
		return o.Item.String() + " desc"
	}
	return o.Item.String()
}

// String implements Statement.
func (i *Insert) String() string {
	return fmt.Sprintf("insert into %s (%s) values (%s)", i.Service, strings.Join(i.Columns, ", "), joinFormatted(i.Values, FormatValue))
}

// String implements Condition.
func (a *And) String() string { return formatTerms(a.Terms, " and ") }

// String implements Condition.
func (o *Or) String() string { return formatTerms(o.Terms, " or ") }

// String implements Condition.
func (n *Not) String() string {
	switch n.Term.(type) {
	case *And, *Or, *Not:
		return "not (" + n.Term.String() + ")"
	default:
		return "not " + n.Term.String()
	}
}

// String implements Condition.
func (c *Comparison) String() string {
	return fmt.Sprintf("%s %s %s", c.Column, c.Operator, FormatValue(c.Value))
}

// String implements Condition.
func (i *In) String() string {
	return fmt.Sprintf("%s in (%s)", i.Column, joinFormatted(i.Values, FormatValue))
}

// String implements Condition.
func (l *Like) String() string {
	return fmt.Sprintf("%s like %s", l.Column, quoteText(l.Pattern))
}

// String implements Condition.
func (n *IsNull) String() string {
	if n.Negated {
		return n.Column + " is not null"
	}
	return n.Column + " is null"
}

// FormatValue returns the canonical text of a value. A number must be finite.
func FormatValue(value rows.Value) string {
	switch value.Kind {
	case rows.Number:
		return formatNumber(value.Number)
	case rows.Text:
		return quoteText(value.Text)
	default:
		return "null"
	}
}

// A number from minimumPlainNumber up to but excluding plainNumberLimit is formatted without an
// exponent.
const (
	minimumPlainNumber = 1e-6
	plainNumberLimit   = 1e15
)

func formatNumber(number float64) string {
	magnitude := math.Abs(number)
	if magnitude == 0 || (magnitude >= minimumPlainNumber && magnitude < plainNumberLimit) {
		return strconv.FormatFloat(number, 'f', -1, 64)
	}
	return strconv.FormatFloat(number, 'e', -1, 64)
}

func quoteText(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// joinFormatted formats the items and joins the results with commas.
func joinFormatted[T any](items []T, format func(T) string) string {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = format(item)
	}
	return strings.Join(texts, ", ")
}

// formatTerms joins the texts of the terms. It encloses conjunctions and disjunctions in
// parentheses, so that parsing the text restores the nesting.
func formatTerms(terms []Condition, separator string) string {
	texts := make([]string, len(terms))
	for i, term := range terms {
		texts[i] = term.String()
		switch term.(type) {
		case *And, *Or:
			texts[i] = "(" + texts[i] + ")"
		}
	}
	return strings.Join(texts, separator)
}
