package merge

import (
	"math"
	"slices"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// grouping splits a grouped select into partial aggregates, which shards
// compute and which can be added up, and the result made of them.
type grouping struct {
	keys []string
	// partials are the aggregates that a shard computes: count, sum, min and
	// max, each once.
	partials []language.Item
	// folds has the kind of each partial.
	folds   []foldKind
	outputs []output
	// columns are the result's columns followed by the keys.
	columns []string
	order   *ordering
	limit   int
}

// output says how a result column is made from a group row, which holds the
// keys and then the partials.
type output struct {
	item language.Item
	// index is the place of the value, or of the sum of an average.
	index int
	// count is the place of the count of an average, and 0 otherwise.
	count int
}

func newGrouping(statement *language.Select) (*grouping, error) {
	g := &grouping{keys: statement.GroupBy, limit: statement.Limit}
	for _, item := range statement.Items {
		made, err := g.output(item)
		if err != nil {
			return nil, err
		}
		g.outputs = append(g.outputs, made)
	}
	g.columns = append(itemNames(statement.Items), g.keys...)
	var err error
	g.order, err = newOrdering(statement.OrderBy, g.columns, len(statement.Items))
	return g, err
}

func (g *grouping) output(item language.Item) (output, error) {
	switch item.Function {
	case language.NoFunction:
		index := slices.Index(g.keys, item.Column)
		if index < 0 {
			return output{}, &UnknownColumnError{Column: item.Column}
		}
		return output{item: item, index: index}, nil
	case language.Average:
		sum := g.partial(language.Item{Function: language.Sum, Column: item.Column})
		count := g.partial(language.Item{Function: language.Count, Column: item.Column})
		return output{item: item, index: sum, count: count}, nil
	default:
		return output{item: item, index: g.partial(item)}, nil
	}
}

// partial returns the place of a partial in a group row, adding it if needed.
func (g *grouping) partial(item language.Item) int {
	index := slices.Index(g.partials, item)
	if index < 0 {
		index = len(g.partials)
		g.partials = append(g.partials, item)
		g.folds = append(g.folds, foldOf(item.Function))
	}
	return len(g.keys) + index
}

// shardStatement selects the keys and the partials. The limit is passed on
// only if the order is by keys: then the first groups of all shards together
// are among the first of each shard that has them.
func (g *grouping) shardStatement(statement *language.Select) *language.Select {
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

// groups collects group rows by their keys.
type groups struct {
	*grouping
	index map[string]int
	rows  []rows.Row
	key   []byte
	// next is the place of the group that likely comes next: shards tend to
	// list the same groups in the same order.
	next int
}

func (g *grouping) newGroups() *groups {
	return &groups{grouping: g, index: make(map[string]int)}
}

// group returns the row of the group with these keys.
func (g *groups) group(keys rows.Row) rows.Row {
	if g.next < len(g.rows) && g.hasKeys(g.rows[g.next], keys) {
		g.next++
		return g.rows[g.next-1]
	}
	g.key = g.key[:0]
	for _, key := range keys {
		g.key = rows.AppendKey(g.key, key)
	}
	if index, ok := g.index[string(g.key)]; ok {
		g.next = index + 1
		return g.rows[index]
	}
	g.next = 0
	return g.newGroup(keys)
}

func (g *groups) hasKeys(row, keys rows.Row) bool {
	for i := range keys {
		a, b := &row[i], &keys[i]
		if a.Kind != b.Kind || a.Number != b.Number || a.Text != b.Text {
			return false
		}
	}
	return true
}

// newGroup adds the group whose key encoding is in g.key.
func (g *groups) newGroup(keys rows.Row) rows.Row {
	row := make(rows.Row, len(g.keys)+len(g.partials))
	copy(row, keys)
	for i, partial := range g.partials {
		if partial.Function == language.Count {
			row[len(g.keys)+i] = rows.NumberOf(0)
		}
	}
	g.index[string(g.key)] = len(g.rows)
	g.rows = append(g.rows, row)
	return row
}

// addPartials adds a group row of a shard.
func (g *groups) addPartials(shardRow rows.Row) error {
	row := g.group(shardRow[:len(g.keys)])
	totals, values := row[len(g.keys):], shardRow[len(g.keys):]
	for i, kind := range g.folds {
		if !kind.fold(&totals[i], &values[i]) {
			return &TypeError{Item: g.partials[i].String(), Value: values[i].Text}
		}
	}
	return nil
}

// result makes the result of the group rows.
func (g *groups) result() (rows.Table, error) {
	if len(g.keys) == 0 {
		g.group(nil) // without keys there is one group, also of no rows
	}
	made := make([]rows.Row, 0, len(g.rows))
	for _, row := range g.rows {
		wide, err := g.resultRow(row)
		if err != nil {
			return rows.Table{}, err
		}
		made = append(made, wide)
	}
	g.order.sort(made)
	made = limited(made, g.limit)
	width := len(g.outputs)
	for i, wide := range made {
		made[i] = wide[:width:width]
	}
	return rows.Table{Columns: g.columns[:width:width], Rows: made}, nil
}

// resultRow returns the result columns followed by the keys.
func (g *groups) resultRow(row rows.Row) (rows.Row, error) {
	wide := make(rows.Row, 0, len(g.columns))
	for _, output := range g.outputs {
		value := row[output.index]
		if output.count > 0 && !value.IsNull() {
			value.Number /= row[output.count].Number
		}
		if math.IsInf(value.Number, 0) || math.IsNaN(value.Number) {
			return nil, &RangeError{Item: output.item.String()}
		}
		wide = append(wide, value)
	}
	return append(wide, row[:len(g.keys)]...), nil
}
