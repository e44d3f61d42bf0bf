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

// Statement returns the select statement with this condition.
func (f Filter) Statement(service string) string {
	return fmt.Sprintf("select * from %s where lane = '%s' and weight <= %g", service, f.Lane, f.Weight)
}

// matches reports whether a row satisfies the condition.
func (f Filter) matches(row rows.Row) bool {
	return row[laneColumn].Text == f.Lane && row[weightColumn].Number <= f.Weight
}

// shardKey identifies the rows of a shard in a snapshot.
type shardKey struct {
	service  string
	snapshot catalog.Snapshot
	shard    int
}

// ReferenceData is the generated data that answers are compared with, by shard. It is not safe for
// concurrent use.
type ReferenceData struct {
	// shards is the number of shards by partition epoch.
	shards map[uint64]int
	tables map[shardKey][]rows.Row
}

// NewReferenceData returns the reference data of partitions with the given numbers of shards, for
// the epochs from 1.
func NewReferenceData(shards ...int) *ReferenceData {
	truth := &ReferenceData{shards: make(map[uint64]int), tables: make(map[shardKey][]rows.Row)}
	for index, count := range shards {
		truth.shards[uint64(index+1)] = count
	}
	return truth
}

// generateTable returns the rows of a shard, which are generated once and then cached.
func (t *ReferenceData) generateTable(key shardKey) []rows.Row {
	if table, ok := t.tables[key]; ok {
		return table
	}
	table := leaf.GenerateRows(key.service, key.snapshot, key.shard, t.shards[key.snapshot.Epoch]).Rows
	t.tables[key] = table
	return table
}

// CheckRows checks that every answer to a select contains exactly the requested rows of the shards
// that it covers, from the single snapshot that it names. It covers all shards except for those
// that it lists as missing.
func (t *ReferenceData) CheckRows(submissions []Submission) []Violation {
	var violations []Violation
	for _, submission := range submissions {
		if submission.Answer == nil || submission.Filter == nil {
			continue
		}
		if detail := t.checkAnswer(submission); detail != "" {
			violations = append(violations, Violation{Guarantee: "rows", Subject: submission.Request.RequestID, Detail: detail})
		}
	}
	return violations
}

// checkAnswer describes the first error of an answer; it returns an empty string if the answer is
// correct.
func (t *ReferenceData) checkAnswer(submission Submission) string {
	answer := submission.Answer
	if answer.RequestID != submission.Request.RequestID {
		return "got the answer to request " + answer.RequestID
	}
	for _, row := range answer.Rows {
		if row[versionColumn].Number != float64(answer.Snapshot.Version) {
			return fmt.Sprintf("got a row of version %g in an answer of version %d", row[versionColumn].Number, answer.Snapshot.Version)
		}
	}
	coverage := answer.Coverage
	total := t.shards[answer.Snapshot.Epoch]
	if coverage.Total != total || coverage.Answered+len(coverage.Missing) != total {
		return fmt.Sprintf("got coverage %+v, want %d shards in epoch %d", coverage, total, answer.Snapshot.Epoch)
	}
	return describeDifference(answer.Rows, t.expectedRows(submission))
}

// expectedRows returns the rows that the answer must contain for its snapshot and its covered
// shards.
func (t *ReferenceData) expectedRows(submission Submission) []rows.Row {
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

// describeDifference describes the first difference of two lists of rows, ignoring their order; it
// returns an empty string if they are equal.
func describeDifference(got, want []rows.Row) string {
	got, want = sortByQuote(got), sortByQuote(want)
	if len(got) != len(want) {
		return fmt.Sprintf("got %d rows, want %d", len(got), len(want))
	}
	for index := range got {
		if !slices.Equal(got[index], want[index]) {
			return fmt.Sprintf("got row %v, want %v", got[index], want[index])
		}
	}
	return ""
}

// sortByQuote returns a copy of the rows, sorted by their key column.
func sortByQuote(table []rows.Row) []rows.Row {
	sorted := slices.Clone(table)
	slices.SortFunc(sorted, func(a, b rows.Row) int { return cmp.Compare(a[quoteColumn].Text, b[quoteColumn].Text) })
	return sorted
}
