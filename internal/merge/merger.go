package merge

import (
	"maps"
	"slices"

	"github.com/micaplank/micaplank/internal/rows"
)

// Merger collects the tables of one query's shards. It is not safe for
// concurrent use.
type Merger struct {
	plan *Plan
	// columns are those that each shard's table must have; for "select *"
	// they are known with the first table.
	columns []string
	order   *ordering
	tables  map[int][]rows.Row
}

// NewMerger returns an empty merger.
func (p *Plan) NewMerger() *Merger {
	return &Merger{plan: p, columns: itemNames(p.shard.Items), tables: make(map[int][]rows.Row)}
}

// Add takes the whole table of a shard, which the caller must not modify
// afterwards. After an error the shard does not count.
func (m *Merger) Add(shard int, table rows.Table) error {
	if _, added := m.tables[shard]; added {
		return &DuplicateShardError{Shard: shard}
	}
	if len(m.columns) == 0 {
		m.columns = table.Columns
	}
	if !slices.Equal(table.Columns, m.columns) {
		return &ColumnsError{Shard: shard, Got: table.Columns, Expected: m.columns}
	}
	if m.plan.grouping == nil {
		if err := m.ensureSorted(table.Rows); err != nil {
			return err
		}
	}
	m.tables[shard] = table.Rows
	return nil
}

// ensureSorted sorts the rows if the leaf did not.
func (m *Merger) ensureSorted(candidate []rows.Row) error {
	if m.order == nil {
		order, err := newOrdering(m.plan.statement.OrderBy, m.columns, 0)
		if err != nil {
			return err
		}
		m.order = order
	}
	if !m.order.isSorted(candidate) {
		m.order.sort(candidate)
	}
	return nil
}

// Shards returns the shards added, in order.
func (m *Merger) Shards() []int {
	return slices.Sorted(maps.Keys(m.tables))
}

// Result merges the tables added so far. It depends only on which they are,
// not on the order of Add. It may be called once.
func (m *Merger) Result() (rows.Table, error) {
	if m.plan.grouping != nil {
		return m.mergeGroups()
	}
	sorted := make([][]rows.Row, 0, len(m.tables))
	for _, shard := range m.Shards() {
		sorted = append(sorted, m.tables[shard])
	}
	return rows.Table{Columns: m.columns, Rows: mergeRuns(m.order, sorted, m.plan.statement.Limit)}, nil
}

func (m *Merger) mergeGroups() (rows.Table, error) {
	groups := m.plan.grouping.newGroups()
	for _, shard := range m.Shards() {
		for _, row := range m.tables[shard] {
			if err := groups.addPartials(row); err != nil {
				return rows.Table{}, err
			}
		}
	}
	return groups.result()
}
