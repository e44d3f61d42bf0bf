package merge

import (
	"container/heap"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// evaluateUngrouped runs a select without grouping over the rows of a table.
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

// project replaces each row by a new row with the values of the given columns.
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

// runHeap is a min-heap of sorted runs, ordered by their first rows.
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

// mergeRuns merges sorted, non-empty runs and returns the first limit rows. A limit of 0
// means no limit. It modifies the slice of runs.
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
