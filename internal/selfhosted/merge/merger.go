package merge

import (
	"slices"

	"github.com/micaplank/micaplank/internal/rows"
)

// Merger merges the tables that the shards return for one query. It is not safe for
// concurrent use.
type Merger struct {
	plan *Plan
	// columns are the columns that the table of each shard must have. For "select *"
	// the first added table defines them.
	columns []string
	order   *rowOrder
	// tables is indexed by shard number.
	tables     []shardTable
	shardCount int
}

// shardTable holds the rows of a shard, if its table was added.
type shardTable struct {
	added bool
	rows  []rows.Row
}

// NewMerger returns a Merger without tables.
func (p *Plan) NewMerger() *Merger {
	return &Merger{plan: p, columns: columnNames(p.shard.Items)}
}

// Add adds the complete table of a shard. The Merger keeps and may sort its rows, so the
// caller must not use the table afterwards. After an error the shard is not part of the
// result.
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

// ensureSlot extends the list of tables to hold the shard.
func (m *Merger) ensureSlot(shard int) {
	if missing := shard + 1 - len(m.tables); missing > 0 {
		m.tables = append(m.tables, make([]shardTable, missing)...)
	}
}

// ensureSorted sorts the rows in place unless the leaf returned them in order.
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

// Shards returns the numbers of the added shards in ascending order.
func (m *Merger) Shards() []int {
	shards := make([]int, 0, m.shardCount)
	for shard := range m.tables {
		if m.tables[shard].added {
			shards = append(shards, shard)
		}
	}
	return shards
}

// Result merges the added tables. The result does not depend on the order in which they
// were added. Result may be called only once.
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

// mergeGroups folds the group rows in the order of the shard numbers, so that sums of
// floating-point numbers do not depend on the order of arrival.
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
