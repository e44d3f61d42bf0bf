package merge

import (
	"container/heap"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// evaluateRows runs a select that is not grouped.
func evaluateUngrouped(statement *language.Select, table rows.Table) (rows.Table, error) {
	columns := columnNames(statement.Items)
	result := filterRows(statement, table)
	if len(columns) == 0 {
		columns = table.Columns
	} else if err := project(result, columns, table); err != nil {
		return rows.Table{}, err
	}
	order, err := newRowOrder(statement.OrderBy, columns, 0)
	if err != nil {
		return rows.Table{}, err
	}
	order.sort(result)
	return rows.Table{Columns: columns, Rows: truncateRows(result, statement.Limit)}, nil
}

// project replaces each row of the table by the values of the columns.
func project(result []rows.Row, columns []string, table rows.Table) error {
	indexes := make([]int, len(columns))
	for i, name := range columns {
		indexes[i] = table.Column(name)
		if indexes[i] < 0 {
			return &UnknownColumnError{Column: name}
		}
	}
	values := make([]rows.Value, len(result)*len(columns))
	for i, row := range result {
		projected := values[:len(columns):len(columns)]
		values = values[len(columns):]
		for j, index := range indexes {
			projected[j] = row[index]
		}
		result[i] = projected
	}
	return nil
}

// runs is a heap of sorted runs, the one with the least first row at the top.
type runHeap struct {
	order *rowOrder
	runs  [][]rows.Row
}

// Len implements heap.Interface.
func (r *runHeap) Len() int { return len(r.runs) }

// Less implements heap.Interface.
func (r *runHeap) Less(i, j int) bool { return r.order.compare(r.runs[i][0], r.runs[j][0]) < 0 }

// Swap implements heap.Interface.
func (r *runHeap) Swap(i, j int) { r.runs[i], r.runs[j] = r.runs[j], r.runs[i] }

// Push implements heap.Interface.
func (r *runHeap) Push(run any) { r.runs = append(r.runs, run.([]rows.Row)) }

// Pop implements heap.Interface.
func (r *runHeap) Pop() any {
	last := len(r.runs) - 1
	run := r.runs[last]
	r.runs = r.runs[:last]
	return run
}

// mergeRuns returns the first rows of sorted runs, none of them empty, up to
// the limit; zero means no limit. It keeps and changes the slice of runs.
func mergeRuns(order *rowOrder, sorted [][]rows.Row, limit int) []rows.Row {
	total := 0
	for _, run := range sorted {
		total += len(run)
	}
	if limit > 0 {
		total = min(total, limit)
	}
	pending := &runHeap{order: order, runs: sorted}
	heap.Init(pending)
	merged := make([]rows.Row, 0, total)
	for len(merged) < total {
		first := pending.runs[0]
		merged = append(merged, first[0])
		if len(first) == 1 {
			heap.Pop(pending)
			continue
		}
		pending.runs[0] = first[1:]
		heap.Fix(pending, 0)
	}
	return merged
}
