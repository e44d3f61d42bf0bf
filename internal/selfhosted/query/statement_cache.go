package query

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/micaplank/micaplank/internal/selfhosted/language"
	"github.com/micaplank/micaplank/internal/selfhosted/merge"
)

const (
	// statementsKept is how many parsed selects are kept.
	maxCachedStatements = 4096
	// maximumKeptStatement is the longest statement that is kept, in bytes.
	maxCachedStatementBytes = 4096
)

// selection is a parsed select with the plan of its merge. It is shared by
// queries and never modified.
type parsedSelect struct {
	statement *language.Select
	mergePlan *merge.Plan
}

// statements parses statements and keeps the newest selects, since callers
// send the same few texts repeatedly. Inserts are not kept: each is
// another text. It is safe for concurrent use.
type statementCache struct {
	selections *lru.Cache[string, *parsedSelect]
}

func newStatementCache() *statementCache {
	selections, err := lru.New[string, *parsedSelect](maxCachedStatements)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &statementCache{selections: selections}
}

// parse returns the selection of a select, or another kind of statement.
// Errors are those of packages language and merge.
func (s *statementCache) parse(text string) (*parsedSelect, language.Statement, error) {
	if cached, ok := s.selections.Get(text); ok {
		return cached, cached.statement, nil
	}
	statement, err := language.ParseOne(text)
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
