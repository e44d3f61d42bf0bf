package merge

import (
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// foldKind is the operation that combines partial aggregates.
type foldKind uint8

const (
	foldSum foldKind = iota // combines sums and counts
	foldMinimum
	foldMaximum
)

// foldKindFor returns the operation that combines the partial aggregates of a function.
func foldKindFor(function language.Function) foldKind {
	switch function {
	case language.Minimum:
		return foldMinimum
	case language.Maximum:
		return foldMaximum
	default:
		return foldSum
	}
}

// fold combines a value with a total and ignores nulls. It returns false if the value has
// a type that the operation does not accept.
func (k foldKind) fold(total, value *rows.Value) bool {
	switch {
	case value.Kind == rows.Null:
	case k == foldMinimum:
		if total.Kind == rows.Null || compareValues(value, total) < 0 {
			*total = *value
		}
	case k == foldMaximum:
		if total.Kind == rows.Null || compareValues(value, total) > 0 {
			*total = *value
		}
	case value.Kind != rows.Number:
		return false
	default:
		total.Kind = rows.Number
		total.Number += value.Number
	}
	return true
}
