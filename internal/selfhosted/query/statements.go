package query

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/micaplank/micaplank/internal/selfhosted/language"
	"github.com/micaplank/micaplank/internal/selfhosted/merge"
)

const (
	// statementsKept is how many parsed selects are kept.
	statementsKept = 4096
	// maximumKeptStatement is the longest statement that is kept, in bytes.
	maximumKeptStatement = 4096
)

// selection is a parsed select with the plan of its merge. It is shared by
// queries and never modified.
type selection struct {
	statement *language.Select
	merge     *merge.Plan
}

// statements parses statements and keeps the newest selects, since callers
// send the same few texts repeatedly. Inserts are not kept: each is
// another text. It is safe for concurrent use.
type statements struct {
	selections *lru.Cache[string, *selection]
}

func newStatements() *statements {
	selections, err := lru.New[string, *selection](statementsKept)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &statements{selections: selections}
}

// parse returns the selection of a select, or another kind of statement.
// Errors are those of packages language and merge.
func (s *statements) parse(text string) (*selection, language.Statement, error) {
	if kept, ok := s.selections.Get(text); ok {
		return kept, kept.statement, nil
	}
	statement, err := language.ParseOne(text)
	if err != nil {
		return nil, nil, err
	}
	selecting, ok := statement.(*language.Select)
	if !ok {
		return nil, statement, nil
	}
	plan, err := merge.NewPlan(selecting)
	if err != nil {
		return nil, statement, err
	}
	parsed := &selection{statement: selecting, merge: plan}
	if len(text) <= maximumKeptStatement {
		s.selections.Add(text, parsed)
	}
	return parsed, statement, nil
}
