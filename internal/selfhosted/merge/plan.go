// Package merge splits a select statement into a statement that each shard runs and a
// merge of the tables that the shards return. It also evaluates statements over the rows
// of a table.
//
// For any distribution of rows over shards and any order of arrival, evaluating the shard
// statement on each shard and merging the tables yields the same result as evaluating the
// whole statement over all rows. Sums are exact while the numbers and their sums are
// integers below 2^53. Other sums are added in the order of the shard numbers, so that the
// result depends only on which tables were merged.
//
// The rows of a result are sorted by the "order by" of the statement. Ties, and results of
// statements without "order by", are sorted by all result columns from left to right, or
// by the "group by" columns if the statement is grouped.
//
// The package does no I/O and has no state other than a Plan and the tables passed to a
// Merger. Package language defines statements and package rows defines values.
package merge

import (
	"slices"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// Plan describes how to run a select over shards. A Plan is immutable and safe for
// concurrent use.
type Plan struct {
	statement *language.Select
	shard     *language.Select
	// shardText is the canonical text of the shard statement.
	shardText string
	// groupPlan is nil if the statement is not grouped.
	groupPlan *groupPlan
}

// NewPlan returns the plan of a select. The caller must not modify the statement
// afterwards.
func NewPlan(statement *language.Select) (*Plan, error) {
	plan := &Plan{statement: statement, shard: statement}
	if statement.IsGrouped() {
		groupPlan, err := newGroupPlan(statement)
		if err != nil {
			return nil, err
		}
		plan.groupPlan = groupPlan
		plan.shard = groupPlan.buildShardStatement(statement)
	}
	plan.shardText = plan.shard.String()
	return plan, nil
}

// ShardStatement returns the canonical text of the statement that each shard runs.
func (p *Plan) ShardStatement() string { return p.shardText }

// Columns returns the columns of the result. It returns nil for "select *", whose columns
// come from the tables of the shards.
func (p *Plan) Columns() []string { return columnNames(p.statement.Items) }

// columnNames returns the column names of select items. It returns nil for "select *".
func columnNames(items []language.Item) []string {
	var names []string
	for _, item := range items {
		names = append(names, item.String())
	}
	return names
}

// Evaluate runs a select over the rows of a table. It does not modify the table, but the
// result may share rows with it.
func Evaluate(statement *language.Select, table rows.Table) (rows.Table, error) {
	if statement.IsGrouped() {
		return evaluateGrouped(statement, table)
	}
	return evaluateUngrouped(statement, table)
}

// truncateRows returns the first limit rows. A limit of 0 means no limit.
func truncateRows(sorted []rows.Row, limit int) []rows.Row {
	if limit > 0 && len(sorted) > limit {
		return sorted[:limit]
	}
	return sorted
}

// filterRows returns the rows that the where clause matches, in a new slice.
func filterRows(statement *language.Select, table rows.Table) []rows.Row {
	if statement.Where == nil {
		return slices.Clone(table.Rows)
	}
	matched := []rows.Row{}
	var current rows.Row
	lookup := func(name string) (rows.Value, bool) {
		index := table.Column(name)
		if index < 0 {
			return rows.Value{}, false
		}
		return current[index], true
	}
	for _, current = range table.Rows {
		if statement.Where.Matches(lookup) {
			matched = append(matched, current)
		}
	}
	return matched
}
