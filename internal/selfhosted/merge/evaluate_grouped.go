package merge

import (
	"slices"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// evaluateGroups runs a grouped select.
func evaluateGrouped(statement *language.Select, table rows.Table) (rows.Table, error) {
	groupPlan, err := newGroupPlan(statement)
	if err != nil {
		return rows.Table{}, err
	}
	indexes, err := groupPlan.resolveInputs(table)
	if err != nil {
		return rows.Table{}, err
	}
	groups := groupPlan.newGroupSet()
	partialRow := make(rows.Row, len(indexes))
	for _, row := range filterRows(statement, table) {
		groupPlan.fillPartialRow(partialRow, row, indexes)
		if err := groups.addPartials(partialRow); err != nil {
			return rows.Table{}, err
		}
	}
	return groups.buildResult()
}

// inputs returns the places of the keys' and partials' columns in the table;
// -1 for count(*).
func (g *groupPlan) resolveInputs(table rows.Table) ([]int, error) {
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
func (g *groupPlan) fillPartialRow(partialRow, row rows.Row, indexes []int) {
	for i, index := range indexes {
		switch {
		case index < 0:
			partialRow[i] = rows.NumberOf(1)
		case i >= len(g.keys) && g.partials[i-len(g.keys)].Function == language.Count:
			partialRow[i] = countNonNull(row[index])
		default:
			partialRow[i] = row[index]
		}
	}
}

func countNonNull(value rows.Value) rows.Value {
	if value.IsNull() {
		return rows.NumberOf(0)
	}
	return rows.NumberOf(1)
}
