package merge

import (
	"slices"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// evaluateGrouped runs a grouped select over the rows of a table.
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

// resolveInputs returns the table indexes of the columns of the keys and the partials. The
// index is -1 for count(*).
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

// fillPartialRow converts a table row into the group row of a group with that row alone.
func (g *groupPlan) fillPartialRow(partialRow, row rows.Row, indexes []int) {
	for i, index := range indexes {
		switch {
		case index < 0:
			partialRow[i] = rows.NewNumber(1)
		case i >= len(g.keys) && g.partials[i-len(g.keys)].Function == language.Count:
			partialRow[i] = countNonNull(row[index])
		default:
			partialRow[i] = row[index]
		}
	}
}

// countNonNull returns the count of a single value: 0 for null and 1 otherwise.
func countNonNull(value rows.Value) rows.Value {
	if value.IsNull() {
		return rows.NewNumber(0)
	}
	return rows.NewNumber(1)
}
