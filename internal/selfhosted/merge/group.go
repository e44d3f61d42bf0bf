package merge

import (
	"math"
	"slices"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// groupPlan splits a grouped select into partial aggregates, which shards compute and the
// merger folds, and into output columns, which are computed from the folded partials.
type groupPlan struct {
	keys []string
	// partials are the aggregates that each shard computes (count, sum, min or max),
	// without duplicates.
	partials []language.Item
	// foldKinds holds the fold operation of each partial.
	foldKinds []foldKind
	outputs   []outputColumn
	// columns are the result columns followed by the group keys, which break ties.
	columns []string
	order   *rowOrder
	limit   int
}

// outputColumn computes a result column from a group row, which holds the group keys
// followed by the partials.
type outputColumn struct {
	item language.Item
	// valueIndex is the index of the value, or of the sum of an average.
	valueIndex int
	// countIndex is the index of the count of an average, and 0 otherwise.
	countIndex int
}

// newGroupPlan returns the plan of a grouped select.
func newGroupPlan(statement *language.Select) (*groupPlan, error) {
	g := &groupPlan{keys: statement.GroupBy, limit: statement.Limit}
	for _, item := range statement.Items {
		output, err := g.resolveOutput(item)
		if err != nil {
			return nil, err
		}
		g.outputs = append(g.outputs, output)
	}
	g.columns = append(columnNames(statement.Items), g.keys...)
	var err error
	g.order, err = newRowOrder(statement.OrderBy, g.columns, len(statement.Items))
	return g, err
}

// resolveOutput returns the output column for a select item and adds the partials that
// the column needs.
func (g *groupPlan) resolveOutput(item language.Item) (outputColumn, error) {
	switch item.Function {
	case language.NoFunction:
		index := slices.Index(g.keys, item.Column)
		if index < 0 {
			return outputColumn{}, &UnknownColumnError{Column: item.Column}
		}
		return outputColumn{item: item, valueIndex: index}, nil
	case language.Average:
		sum := g.ensurePartial(language.Item{Function: language.Sum, Column: item.Column})
		count := g.ensurePartial(language.Item{Function: language.Count, Column: item.Column})
		return outputColumn{item: item, valueIndex: sum, countIndex: count}, nil
	default:
		return outputColumn{item: item, valueIndex: g.ensurePartial(item)}, nil
	}
}

// ensurePartial returns the index of a partial in a group row and adds the partial if it
// is missing.
func (g *groupPlan) ensurePartial(item language.Item) int {
	index := slices.Index(g.partials, item)
	if index < 0 {
		index = len(g.partials)
		g.partials = append(g.partials, item)
		g.foldKinds = append(g.foldKinds, foldKindFor(item.Function))
	}
	return len(g.keys) + index
}

// buildShardStatement returns the statement that selects the keys and the partials on each
// shard. It includes the limit only if the statement does not order by an aggregate: then
// each of the first groups of the result is also among the first groups of every shard
// that has the group. The order by an aggregate is known only after merging.
func (g *groupPlan) buildShardStatement(statement *language.Select) *language.Select {
	shard := &language.Select{
		Service: statement.Service,
		Where:   statement.Where,
		GroupBy: statement.GroupBy,
	}
	for _, key := range g.keys {
		shard.Items = append(shard.Items, language.Item{Column: key})
	}
	shard.Items = append(shard.Items, g.partials...)
	byKeys := !slices.ContainsFunc(statement.OrderBy, func(order language.Order) bool {
		return order.Item.Function != language.NoFunction
	})
	if byKeys && statement.Limit > 0 {
		shard.OrderBy = statement.OrderBy
		shard.Limit = statement.Limit
	}
	return shard
}

// groupSet holds the group rows of one evaluation or merge.
type groupSet struct {
	*groupPlan
	indexByKey map[string]int
	rows       []rows.Row
	keyBuffer  []byte
	// nextIndex is the index of the group that is expected next, since most shards
	// list the same groups in the same order. A correct guess avoids a map lookup.
	nextIndex int
}

func (g *groupPlan) newGroupSet() *groupSet {
	return &groupSet{groupPlan: g, indexByKey: make(map[string]int)}
}

// findOrAddGroup returns the row of the group with the given keys.
func (g *groupSet) findOrAddGroup(keys rows.Row) rows.Row {
	if g.nextIndex < len(g.rows) && g.hasKeys(g.rows[g.nextIndex], keys) {
		g.nextIndex++
		return g.rows[g.nextIndex-1]
	}
	g.keyBuffer = g.keyBuffer[:0]
	for _, key := range keys {
		g.keyBuffer = rows.AppendKey(g.keyBuffer, key)
	}
	if index, ok := g.indexByKey[string(g.keyBuffer)]; ok {
		g.nextIndex = index + 1
		return g.rows[index]
	}
	g.nextIndex = 0
	return g.addGroup(keys)
}

// hasKeys reports whether a group row has the given keys.
func (g *groupSet) hasKeys(row, keys rows.Row) bool {
	for i := range keys {
		a, b := &row[i], &keys[i]
		if a.Kind != b.Kind || a.Number != b.Number || a.Text != b.Text {
			return false
		}
	}
	return true
}

// addGroup adds the group whose encoded keys are in g.keyBuffer.
func (g *groupSet) addGroup(keys rows.Row) rows.Row {
	row := make(rows.Row, len(g.keys)+len(g.partials))
	copy(row, keys)
	for i, partial := range g.partials {
		if partial.Function == language.Count {
			row[len(g.keys)+i] = rows.NewNumber(0)
		}
	}
	g.indexByKey[string(g.keyBuffer)] = len(g.rows)
	g.rows = append(g.rows, row)
	return row
}

// addPartials folds a group row of a shard into the row of its group.
func (g *groupSet) addPartials(shardRow rows.Row) error {
	row := g.findOrAddGroup(shardRow[:len(g.keys)])
	totals, values := row[len(g.keys):], shardRow[len(g.keys):]
	for i, kind := range g.foldKinds {
		if !kind.fold(&totals[i], &values[i]) {
			return &TypeError{Item: g.partials[i].String(), Value: values[i].Text}
		}
	}
	return nil
}

// buildResult computes, sorts and truncates the rows of the result.
func (g *groupSet) buildResult() (rows.Table, error) {
	if len(g.keys) == 0 {
		g.findOrAddGroup(nil) // a select without group by has one group, even over no rows
	}
	resultRows := make([]rows.Row, 0, len(g.rows))
	for _, row := range g.rows {
		resultRow, err := g.buildResultRow(row)
		if err != nil {
			return rows.Table{}, err
		}
		resultRows = append(resultRows, resultRow)
	}
	g.order.sort(resultRows)
	resultRows = truncateRows(resultRows, g.limit)
	width := len(g.outputs)
	for i, resultRow := range resultRows {
		resultRows[i] = resultRow[:width:width]
	}
	return rows.Table{Columns: g.columns[:width:width], Rows: resultRows}, nil
}

// buildResultRow returns the result columns of a group followed by its keys.
func (g *groupSet) buildResultRow(row rows.Row) (rows.Row, error) {
	resultRow := make(rows.Row, 0, len(g.columns))
	for _, output := range g.outputs {
		value := row[output.valueIndex]
		if output.countIndex > 0 && !value.IsNull() {
			value.Number /= row[output.countIndex].Number
		}
		if math.IsInf(value.Number, 0) || math.IsNaN(value.Number) {
			return nil, &RangeError{Item: output.item.String()}
		}
		resultRow = append(resultRow, value)
	}
	return append(resultRow, row[:len(g.keys)]...), nil
}
