package leaf

import (
	"errors"
	"fmt"

	"github.com/micaplank/micaplank/internal/language"
	"github.com/micaplank/micaplank/internal/merge"
	"github.com/micaplank/micaplank/internal/rows"
)

// statement is a select or an insert.
type statement struct {
	selection *language.Select
	insertion *language.Insert
}

var errNotRunnable = errors.New("a leaf runs only select and insert")

func parseStatement(text string) (statement, error) {
	parsed, err := language.ParseOne(text)
	if err != nil {
		return statement{}, err
	}
	switch parsed := parsed.(type) {
	case *language.Select:
		return statement{selection: parsed}, nil
	case *language.Insert:
		return statement{insertion: parsed}, nil
	default:
		return statement{}, errNotRunnable
	}
}

func (s statement) isInsert() bool { return s.insertion != nil }

// evaluate returns the result over the rows of a shard, or why the statement
// cannot run. It has no effect: inserts are applied by Server.insertRows.
func (s statement) evaluate(service string, held shardTable, shard int) (rows.Table, error) {
	if s.selection != nil {
		return merge.Evaluate(s.selection, held.table)
	}
	for _, column := range s.insertion.Columns {
		if held.table.Column(column) < 0 {
			return rows.Table{}, &merge.UnknownColumnError{Column: column}
		}
	}
	key, named := s.insertion.Value(KeyColumn(service))
	if !named {
		return rows.Table{}, fmt.Errorf("an insert has to name the key column %q", KeyColumn(service))
	}
	if placed := ShardOf(key, held.shardCount); placed != shard {
		return rows.Table{}, fmt.Errorf("the key %s belongs to shard %d", key, placed)
	}
	return rows.Table{Columns: []string{"inserted"}, Rows: []rows.Row{{rows.NumberOf(1)}}}, nil
}

// inserts returns the rows to insert, none for a select.
func (s statement) inserts(service string, version uint64) []rows.Row {
	if s.insertion == nil {
		return nil
	}
	columns := Columns(service)
	row := make(rows.Row, len(columns))
	for i, column := range columns {
		row[i], _ = s.insertion.Value(column)
	}
	row[len(row)-1] = rows.NumberOf(float64(version)) // the column version is the last
	return []rows.Row{row}
}
