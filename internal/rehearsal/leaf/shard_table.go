package leaf

import (
	"fmt"
	"sync"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
	"github.com/micaplank/micaplank/internal/selfhosted/merge"
)

// maximumCachedResults limits the cached results of a shard. The cache is cleared when it is full.
const maximumCachedResults = 256

// shardTable holds the rows of one shard at one snapshot. The rows are immutable, so the results of
// select statements are cached. Load tests repeat the same statements, and the CPU time of the fake
// leaf must not dominate the CPU time of the nodes under test.
type shardTable struct {
	rows  rows.Table
	shard int
	// shardCount is the number of shards that the service has in the epoch.
	shardCount int

	mutex   sync.Mutex
	results map[string]rows.Table
}

// evaluate returns the result of a statement, or an error if it cannot be executed. The caller must
// not modify the result. evaluate does not apply inserts; see Server.applyInsert.
func (t *shardTable) evaluate(service string, statement statement) (rows.Table, error) {
	if statement.insertion != nil {
		return t.checkInsert(service, statement.insertion)
	}
	if result, cached := t.cachedResult(statement.text); cached {
		return result, nil
	}
	result, err := merge.Evaluate(statement.selection, t.rows)
	if err == nil {
		t.cacheResult(statement.text, result)
	}
	return result, err
}

func (t *shardTable) cachedResult(text string) (rows.Table, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	result, cached := t.results[text]
	return result, cached
}

func (t *shardTable) cacheResult(text string, result rows.Table) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.results == nil || len(t.results) >= maximumCachedResults {
		t.results = make(map[string]rows.Table)
	}
	t.results[text] = result
}

// checkInsert returns the result of an insert, or an error if its columns do not exist or its key
// belongs to another shard.
func (t *shardTable) checkInsert(service string, insertion *language.Insert) (rows.Table, error) {
	for _, column := range insertion.Columns {
		if t.rows.Column(column) < 0 {
			return rows.Table{}, &merge.UnknownColumnError{Column: column}
		}
	}
	key, exists := insertion.Value(KeyColumn(service))
	if !exists {
		return rows.Table{}, fmt.Errorf("insert: key column %q is missing", KeyColumn(service))
	}
	if shard := ShardOf(key, t.shardCount); shard != t.shard {
		return rows.Table{}, fmt.Errorf("insert: key %s belongs to shard %d, not to shard %d", key, shard, t.shard)
	}
	return rows.Table{Columns: []string{"inserted"}, Rows: []rows.Row{{rows.NewNumber(1)}}}, nil
}
