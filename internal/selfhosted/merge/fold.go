package merge

import (
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// foldKind is how the partials of a function are added up.
type foldKind uint8

const (
	foldSum foldKind = iota // also counts
	foldMinimum
	foldMaximum
)

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

// fold adds a value to a total. Nulls are passed over. It returns false if
// the value is none that can be added.
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
