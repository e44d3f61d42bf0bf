package merge

import (
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
	order   *rowOrder
	// tables has the table of each shard at the shard's number.
	tables     []shardTable
	shardCount int
}

type shardTable struct {
	added bool
	rows  []rows.Row
}

// NewMerger returns an empty merger.
func (p *Plan) NewMerger() *Merger {
	return &Merger{plan: p, columns: columnNames(p.shard.Items)}
}

// Add takes the whole table of a shard, which the caller must not modify
// afterwards. After an error the shard does not count.
func (m *Merger) Add(shard int, table rows.Table) error {
	m.ensureSlot(shard)
	if m.tables[shard].added {
		return &DuplicateShardError{Shard: shard}
	}
	if len(m.columns) == 0 {
		m.columns = table.Columns
	}
	if !slices.Equal(table.Columns, m.columns) {
		return &ColumnMismatchError{Shard: shard, Got: table.Columns, Expected: m.columns}
	}
	if m.plan.groupPlan == nil {
		if err := m.ensureSorted(table.Rows); err != nil {
			return err
		}
	}
	m.tables[shard] = shardTable{added: true, rows: table.Rows}
	m.shardCount++
	return nil
}

// grow makes room for the shard's table.
func (m *Merger) ensureSlot(shard int) {
	if missing := shard + 1 - len(m.tables); missing > 0 {
		m.tables = append(m.tables, make([]shardTable, missing)...)
	}
}

// ensureSorted sorts the rows if the leaf did not.
func (m *Merger) ensureSorted(tableRows []rows.Row) error {
	if m.order == nil {
		order, err := newRowOrder(m.plan.statement.OrderBy, m.columns, 0)
		if err != nil {
			return err
		}
		m.order = order
	}
	if !m.order.isSorted(tableRows) {
		m.order.sort(tableRows)
	}
	return nil
}

// Shards returns the shards added, in order.
func (m *Merger) Shards() []int {
	shards := make([]int, 0, m.shardCount)
	for shard := range m.tables {
		if m.tables[shard].added {
			shards = append(shards, shard)
		}
	}
	return shards
}

// Result merges the tables added so far. It depends only on which they are,
// not on the order of Add. It may be called once.
func (m *Merger) Result() (rows.Table, error) {
	if m.plan.groupPlan != nil {
		return m.mergeGroups()
	}
	sorted := make([][]rows.Row, 0, m.shardCount)
	for i := range m.tables {
		if len(m.tables[i].rows) > 0 {
			sorted = append(sorted, m.tables[i].rows)
		}
	}
	merged := mergeRuns(m.order, sorted, m.plan.statement.Limit)
	return rows.Table{Columns: m.columns, Rows: merged}, nil
}

func (m *Merger) mergeGroups() (rows.Table, error) {
	groups := m.plan.groupPlan.newGroupSet()
	for i := range m.tables {
		groups.nextIndex = 0
		for _, row := range m.tables[i].rows {
			if err := groups.addPartials(row); err != nil {
				return rows.Table{}, err
			}
		}
	}
	return groups.buildResult()
}
