// Package merge splits a select statement into a part that each shard runs and
// a part that merges the shards' tables, and evaluates statements over rows.
//
// For any division of rows into shards, merging the tables that Evaluate gives
// for the shard statement equals Evaluate of the whole statement over all
// rows, whatever the order of arrival. Sums are exact as long as the numbers
// and their sums are whole and below 2^53; otherwise they are added in the
// order of the shards, so that a result depends only on what was merged.
//
// Rows are in the order of the statement's order by. Ties, and statements
// without an order by, are ordered by all result columns from left to right,
// or if grouped by the columns of the group.
//
// The package is pure: it owns no state beyond a Plan and the tables handed to a
// Merger, and relies on language for statements and on rows for values.
package merge

import (
	"slices"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// Plan says how to run a select over shards. It is not modified after it has
// been made and may be shared.
type Plan struct {
	statement *language.Select
	shard     *language.Select
	// shardText is the canonical text of shard.
	shardText string
	// grouping is nil if the statement is not grouped.
	groupPlan *groupPlan
}

// NewPlan plans a select, which must not be modified afterwards.
func NewPlan(statement *language.Select) (*Plan, error) {
	plan := &Plan{statement: statement, shard: statement}
	if statement.Grouped() {
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

// ShardStatement returns the canonical text of what each shard runs.
func (p *Plan) ShardStatement() string { return p.shardText }

// Columns returns the columns of the result; nil for "select *", whose columns
// are those of the shards.
func (p *Plan) Columns() []string { return columnNames(p.statement.Items) }

func columnNames(items []language.Item) []string {
	var names []string
	for _, item := range items {
		names = append(names, item.String())
	}
	return names
}

// Evaluate runs a select over the rows of a table, which it does not modify.
// The result may share rows with it.
func Evaluate(statement *language.Select, table rows.Table) (rows.Table, error) {
	if statement.Grouped() {
		return evaluateGrouped(statement, table)
	}
	return evaluateUngrouped(statement, table)
}

// limited cuts the rows to the limit; zero means no limit.
func truncateRows(sorted []rows.Row, limit int) []rows.Row {
	if limit > 0 && len(sorted) > limit {
		return sorted[:limit]
	}
	return sorted
}

// matching returns the rows that the where clause takes.
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
