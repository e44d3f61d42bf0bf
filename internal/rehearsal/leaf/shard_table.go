package leaf

import (
	"fmt"
	"sync"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
	"github.com/micaplank/micaplank/internal/selfhosted/merge"
)

// rememberedResults bounds the results that a shard's table remembers.
const rememberedResults = 256

// shardTable is the rows of one shard at one snapshot. They never change, so
// it remembers the results of selects: load tests repeat them, and the leaf's
// own processor time should not hide that of the nodes.
type shardTable struct {
	table rows.Table
	shard int
	// shardCount is the number of shards that the service has in the epoch.
	shardCount int

	mutex   sync.Mutex
	results map[string]rows.Table
}

// evaluate returns the result of a statement, or why it cannot run. The caller
// must not modify the result. It has no effect: inserts are applied by
// Server.insertRows.
func (t *shardTable) evaluate(service string, statement statement) (rows.Table, error) {
	if statement.insertion != nil {
		return t.checkInsert(service, statement.insertion)
	}
	if result, known := t.remembered(statement.text); known {
		return result, nil
	}
	result, err := merge.Evaluate(statement.selection, t.table)
	if err == nil {
		t.remember(statement.text, result)
	}
	return result, err
}

func (t *shardTable) remembered(text string) (rows.Table, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	result, known := t.results[text]
	return result, known
}

func (t *shardTable) remember(text string, result rows.Table) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.results == nil || len(t.results) >= rememberedResults {
		t.results = make(map[string]rows.Table)
	}
	t.results[text] = result
}

// checkInsert returns the result of an insert that fits the shard.
func (t *shardTable) checkInsert(service string, insertion *language.Insert) (rows.Table, error) {
	for _, column := range insertion.Columns {
		if t.table.Column(column) < 0 {
			return rows.Table{}, &merge.UnknownColumnError{Column: column}
		}
	}
	key, named := insertion.Value(KeyColumn(service))
	if !named {
		return rows.Table{}, fmt.Errorf("an insert has to name the key column %q", KeyColumn(service))
	}
	if placed := ShardOf(key, t.shardCount); placed != t.shard {
		return rows.Table{}, fmt.Errorf("the key %s belongs to shard %d", key, placed)
	}
	return rows.Table{Columns: []string{"inserted"}, Rows: []rows.Row{{rows.NumberOf(1)}}}, nil
}
