package history

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rehearsal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
)

// Positions of the columns of generated tariffs.
const (
	quoteColumn   = 0
	laneColumn    = 1
	weightColumn  = 3
	versionColumn = 5
)

// Filter is the condition of a select over generated tariffs.
type Filter struct {
	Lane   string
	Weight float64
}

// Statement is the select with this condition.
func (f Filter) Statement(service string) string {
	return fmt.Sprintf("select * from %s where lane = '%s' and weight <= %g", service, f.Lane, f.Weight)
}

func (f Filter) matches(row rows.Row) bool {
	return row[laneColumn].Text == f.Lane && row[weightColumn].Number <= f.Weight
}

// shardKey names the rows of one shard.
type shardKey struct {
	service  string
	snapshot catalog.Snapshot
	shard    int
}

// Truth is the generated data, by shard. It is not safe for concurrent use.
type Truth struct {
	// shards is the number of shards of each partition epoch.
	shards map[uint64]int
	tables map[shardKey][]rows.Row
}

// NewTruth returns the data of partitions with these numbers of shards, for
// epochs counted from 1.
func NewTruth(shards ...int) *Truth {
	truth := &Truth{shards: make(map[uint64]int), tables: make(map[shardKey][]rows.Row)}
	for index, count := range shards {
		truth.shards[uint64(index+1)] = count
	}
	return truth
}

func (t *Truth) generateTable(key shardKey) []rows.Row {
	if table, ok := t.tables[key]; ok {
		return table
	}
	table := leaf.Rows(key.service, key.snapshot, key.shard, t.shards[key.snapshot.Epoch]).Rows
	t.tables[key] = table
	return table
}

// CheckRows checks that every answer to a select holds exactly the rows that
// its caller asked for, of the one snapshot that it names and of the shards
// that it claims: all but the missing ones.
func (t *Truth) CheckRows(submissions []Submission) []Violation {
	var violations []Violation
	for _, submission := range submissions {
		if submission.Answer == nil || submission.Filter == nil {
			continue
		}
		if detail := t.checkAnswer(submission); detail != "" {
			violations = append(violations, Violation{Promise: "rows", Subject: submission.Request.RequestID, Detail: detail})
		}
	}
	return violations
}

func (t *Truth) checkAnswer(submission Submission) string {
	answer := submission.Answer
	if answer.RequestID != submission.Request.RequestID {
		return "the answer is that of request " + answer.RequestID
	}
	for _, row := range answer.Rows {
		if row[versionColumn].Number != float64(answer.Snapshot.Version) {
			return fmt.Sprintf("a row of version %g in an answer of version %d", row[versionColumn].Number, answer.Snapshot.Version)
		}
	}
	coverage := answer.Coverage
	total := t.shards[answer.Snapshot.Epoch]
	if coverage.Total != total || coverage.Answered+len(coverage.Missing) != total {
		return fmt.Sprintf("coverage %+v of %d shards in epoch %d", coverage, total, answer.Snapshot.Epoch)
	}
	return describeDifference(answer.Rows, t.expectedRows(submission))
}

func (t *Truth) expectedRows(submission Submission) []rows.Row {
	answer := submission.Answer
	var expected []rows.Row
	for shard := range answer.Coverage.Total {
		if slices.Contains(answer.Coverage.Missing, shard) {
			continue
		}
		for _, row := range t.generateTable(shardKey{submission.Service, answer.Snapshot, shard}) {
			if submission.Filter.matches(row) {
				expected = append(expected, row)
			}
		}
	}
	return expected
}

// difference describes how the rows found differ from those expected, as sets
// of the key; empty if they do not.
func describeDifference(got, want []rows.Row) string {
	got, want = sortByQuote(got), sortByQuote(want)
	if len(got) != len(want) {
		return fmt.Sprintf("%d rows, expected %d", len(got), len(want))
	}
	for index := range got {
		if !slices.Equal(got[index], want[index]) {
			return fmt.Sprintf("row %v, expected %v", got[index], want[index])
		}
	}
	return ""
}

func sortByQuote(table []rows.Row) []rows.Row {
	sorted := slices.Clone(table)
	slices.SortFunc(sorted, func(a, b rows.Row) int { return cmp.Compare(a[quoteColumn].Text, b[quoteColumn].Text) })
	return sorted
}
