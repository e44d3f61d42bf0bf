package language

import (
	"strings"
	"unicode/utf8"

	"github.com/micaplank/micaplank/internal/rows"
)

// ColumnLookup returns the value of a row's column and reports whether the row has the column.
type ColumnLookup func(name string) (rows.Value, bool)

// Condition is a where clause or a part of one. It is one of *And, *Or, *Not, *Comparison, *In,
// *Like and *IsNull. A missing column is treated as null. A comparison with null or of a number
// with a text is false, and its negation with "not" is true.
type Condition interface {
	// Matches reports whether the row satisfies the condition.
	Matches(columns ColumnLookup) bool
	// String returns the canonical text.
	String() string
}

// And is true if all of its terms are true. It has at least two terms.
type And struct{ Terms []Condition }

// Or is true if at least one of its terms is true. It has at least two terms.
type Or struct{ Terms []Condition }

// Not is true if its term is false.
type Not struct{ Term Condition }

// Operator is a comparison operator.
type Operator string

// Comparison operators.
const (
	Equal          Operator = "="
	NotEqual       Operator = "!="
	Less           Operator = "<"
	LessOrEqual    Operator = "<="
	Greater        Operator = ">"
	GreaterOrEqual Operator = ">="
)

// Comparison compares a column with a number or a text. Texts are ordered by bytes.
type Comparison struct {
	Column   string
	Operator Operator
	Value    rows.Value
}

// In is true if the column equals one of the values.
type In struct {
	Column string
	Values []rows.Value
}

// Like is true if the column is a text that matches the pattern. In the pattern, "%" matches any
// number of characters and "_" matches one character.
type Like struct {
	Column  string
	Pattern string
}

// IsNull is true if the column is null. If Negated is set, it is true if the column is not null.
type IsNull struct {
	Column  string
	Negated bool
}

// Matches implements Condition.
func (a *And) Matches(columns ColumnLookup) bool {
	for _, term := range a.Terms {
		if !term.Matches(columns) {
			return false
		}
	}
	return true
}

// Matches implements Condition.
func (o *Or) Matches(columns ColumnLookup) bool {
	for _, term := range o.Terms {
		if term.Matches(columns) {
			return true
		}
	}
	return false
}

// Matches implements Condition.
func (n *Not) Matches(columns ColumnLookup) bool { return !n.Term.Matches(columns) }

// Matches implements Condition.
func (c *Comparison) Matches(columns ColumnLookup) bool {
	value, _ := columns(c.Column)
	if value.Kind != c.Value.Kind || value.Kind == rows.Null {
		return false
	}
	order := rows.Compare(value, c.Value)
	switch c.Operator {
	case Equal:
		return order == 0
	case NotEqual:
		return order != 0
	case Less:
		return order < 0
	case LessOrEqual:
		return order <= 0
	case Greater:
		return order > 0
	case GreaterOrEqual:
		return order >= 0
	default:
		return false
	}
}

// Matches implements Condition.
func (i *In) Matches(columns ColumnLookup) bool {
	value, _ := columns(i.Column)
	if value.Kind == rows.Null {
		return false
	}
	for _, candidate := range i.Values {
		if candidate == value {
			return true
		}
	}
	return false
}

// Matches implements Condition.
func (l *Like) Matches(columns ColumnLookup) bool {
	value, _ := columns(l.Column)
	return value.Kind == rows.Text && matchesPattern(value.Text, l.Pattern)
}

// Matches implements Condition.
func (n *IsNull) Matches(columns ColumnLookup) bool {
	value, _ := columns(n.Column)
	return (value.Kind == rows.Null) != n.Negated
}

// matchesPattern reports whether the text matches the Like pattern. On a mismatch it backtracks
// only to the last "%", so its running time is at most proportional to the product of both lengths.
func matchesPattern(text, pattern string) bool {
	textOffset, patternOffset := 0, 0
	resumeText, resumePattern := 0, -1
	for textOffset < len(text) {
		_, width := utf8.DecodeRuneInString(text[textOffset:])
		switch {
		case patternOffset < len(pattern) && pattern[patternOffset] == '%':
			resumeText, resumePattern = textOffset, patternOffset+1
			patternOffset++
		case patternOffset < len(pattern) && pattern[patternOffset] == '_':
			textOffset += width
			patternOffset++
		case patternOffset < len(pattern) && strings.HasPrefix(pattern[patternOffset:], text[textOffset:textOffset+width]):
			textOffset += width
			patternOffset += width
		case resumePattern >= 0:
			_, skipped := utf8.DecodeRuneInString(text[resumeText:])
			resumeText += skipped
			textOffset, patternOffset = resumeText, resumePattern
		default:
			return false
		}
	}
	return strings.Trim(pattern[patternOffset:], "%") == ""
}

// findEqualityValue implements Select.KeyEquality for one condition.
func findEqualityValue(where Condition, column string) (rows.Value, bool) {
	switch condition := where.(type) {
	case *Comparison:
		if condition.Column == column && condition.Operator == Equal {
			return condition.Value, true
		}
	case *And:
		for _, term := range condition.Terms {
			if value, exists := findEqualityValue(term, column); exists {
				return value, true
			}
		}
	}
	return rows.Value{}, false
}
