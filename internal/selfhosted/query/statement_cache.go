package query

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/micaplank/micaplank/internal/selfhosted/language"
	"github.com/micaplank/micaplank/internal/selfhosted/merge"
)

const (
	// maxCachedStatements is the number of parsed selects in the cache.
	maxCachedStatements = 4096
	// maxCachedStatementBytes is the length of the longest statement that is cached.
	maxCachedStatementBytes = 4096
)

// parsedSelect is a parsed select with its merge plan. Concurrent queries share it, so it
// is never modified.
type parsedSelect struct {
	statement *language.Select
	mergePlan *merge.Plan
}

// statementCache parses statements and caches the most recently used selects, since
// callers send the same few texts repeatedly. Inserts are not cached, since each has a
// different text. A statementCache is safe for concurrent use.
type statementCache struct {
	selections *lru.Cache[string, *parsedSelect]
}

func newStatementCache() *statementCache {
	selections, err := lru.New[string, *parsedSelect](maxCachedStatements)
	if err != nil {
		panic(err) // lru.New fails only for a size below 1
	}
	return &statementCache{selections: selections}
}

// parse parses a statement. The parsedSelect is nil if the statement is not a select.
// Errors come from packages language and merge.
func (s *statementCache) parse(text string) (*parsedSelect, language.Statement, error) {
	if cached, ok := s.selections.Get(text); ok {
		return cached, cached.statement, nil
	}
	statement, err := language.ParseStatement(text)
	if err != nil {
		return nil, nil, err
	}
	selectStatement, ok := statement.(*language.Select)
	if !ok {
		return nil, statement, nil
	}
	mergePlan, err := merge.NewPlan(selectStatement)
	if err != nil {
		return nil, statement, err
	}
	parsed := &parsedSelect{statement: selectStatement, mergePlan: mergePlan}
	if len(text) <= maxCachedStatementBytes {
		s.selections.Add(text, parsed)
	}
	return parsed, statement, nil
}
