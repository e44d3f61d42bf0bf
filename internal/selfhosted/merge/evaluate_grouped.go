package merge

import (
	"slices"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// evaluateGroups runs a grouped select.
func evaluateGroups(statement *language.Select, table rows.Table) (rows.Table, error) {
	grouping, err := newGrouping(statement)
	if err != nil {
		return rows.Table{}, err
	}
	indexes, err := grouping.inputs(table)
	if err != nil {
		return rows.Table{}, err
	}
	groups := grouping.newGroups()
	input := make(rows.Row, len(indexes))
	for _, row := range matching(statement, table) {
		grouping.read(input, row, indexes)
		if err := groups.addPartials(input); err != nil {
			return rows.Table{}, err
		}
	}
	return groups.result()
}

// inputs returns the places of the keys' and partials' columns in the table;
// -1 for count(*).
func (g *grouping) inputs(table rows.Table) ([]int, error) {
	columns := slices.Clone(g.keys)
	for _, partial := range g.partials {
		columns = append(columns, partial.Column)
	}
	indexes := make([]int, len(columns))
	for i, column := range columns {
		indexes[i] = table.Column(column)
		if indexes[i] < 0 && column != language.AllColumns {
			return nil, &UnknownColumnError{Column: column}
		}
	}
	return indexes, nil
}

// read makes a row into the group row of just this row.
func (g *grouping) read(input, row rows.Row, indexes []int) {
	for i, index := range indexes {
		switch {
		case index < 0:
			input[i] = rows.NumberOf(1)
		case i >= len(g.keys) && g.partials[i-len(g.keys)].Function == language.Count:
			input[i] = countOf(row[index])
		default:
			input[i] = row[index]
		}
	}
}

func countOf(value rows.Value) rows.Value {
	if value.IsNull() {
		return rows.NumberOf(0)
	}
	return rows.NumberOf(1)
}
