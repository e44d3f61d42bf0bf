package language

import (
	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/rows"
)

func drawValue(t *rapid.T) rows.Value {
	if rapid.Bool().Draw(t, "is number") {
		number := rapid.OneOf(rapid.Float64(), rapid.Map(rapid.IntRange(-3, 3), func(n int) float64 { return float64(n) })).Draw(t, "number")
		return rows.Value{Kind: rows.Number, Number: number + 0}
	}
	return rows.Value{Kind: rows.Text, Text: rapid.OneOf(rapid.SampledFrom([]string{"a", "it's", "x\ny;--z", ""}), rapid.String()).Draw(t, "text")}
}

func drawCondition(t *rapid.T, depth int) Condition {
	kind := rapid.IntRange(0, 6).Draw(t, "kind")
	column := columnNames.Draw(t, "column")
	if depth == 0 && kind < 3 {
		kind += 3
	}
	switch kind {
	case 0:
		return &And{Terms: drawTerms(t, depth)}
	case 1:
		return &Or{Terms: drawTerms(t, depth)}
	case 2:
		return &Not{Term: drawCondition(t, depth-1)}
	case 3:
		operator := rapid.SampledFrom([]Operator{Equal, Equal, NotEqual, Less, LessOrEqual, Greater, GreaterOrEqual}).Draw(t, "operator")
		return &Comparison{Column: column, Operator: operator, Value: drawValue(t)}
	case 4:
		return &In{Column: column, Values: rapid.SliceOfN(rapid.Custom(drawValue), 1, 3).Draw(t, "values")}
	case 5:
		return &Like{Column: column, Pattern: rapid.StringOf(rapid.SampledFrom([]rune("a%_'"))).Draw(t, "pattern")}
	default:
		return &IsNull{Column: column, Negated: rapid.Bool().Draw(t, "negated")}
	}
}

func drawTerms(t *rapid.T, depth int) []Condition {
	terms := make([]Condition, rapid.IntRange(2, 3).Draw(t, "terms"))
	for i := range terms {
		terms[i] = drawCondition(t, depth-1)
	}
	return terms
}

func drawSelect(t *rapid.T) *Select {
	statement := &Select{Service: "rate-desk", Limit: rapid.IntRange(0, 3).Draw(t, "limit")}
	if rapid.Bool().Draw(t, "grouped") {
		statement.GroupBy = append(statement.GroupBy, rapid.SliceOfNDistinct(columnNames, 0, 2, rapid.ID[string]).Draw(t, "group")...)
		statement.Items = []Item{{Function: Count, Column: AllColumns}, {Function: Minimum, Column: "price"}, {Function: Count, Column: "lane"}}
	}
	for _, column := range statement.GroupBy {
		statement.Items = append(statement.Items, Item{Column: column})
	}
	for _, item := range statement.Items {
		if rapid.Bool().Draw(t, "ordered") {
			statement.OrderBy = append(statement.OrderBy, Order{Item: item, Descending: rapid.Bool().Draw(t, "descending")})
		}
	}
	if rapid.Bool().Draw(t, "restricted") {
		statement.Where = drawCondition(t, 3)
	}
	return statement
}
