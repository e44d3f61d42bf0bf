package leaf

import (
	"errors"
	"sync"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// statement is a parsed select or insert statement.
type statement struct {
	text      string
	selection *language.Select
	insertion *language.Insert
}

var errUnsupportedStatement = errors.New("parse statement: a leaf supports only select and insert")

// maximumCachedStatements limits the cached statements of a parser. The cache is cleared when it is
// full.
const maximumCachedStatements = 1024

// statementParser parses statements and caches the results.
type statementParser struct {
	mutex sync.Mutex
	cache map[string]statement
}

func (p *statementParser) parse(text string) (statement, error) {
	p.mutex.Lock()
	parsed, cached := p.cache[text]
	p.mutex.Unlock()
	if cached {
		return parsed, nil
	}
	parsed, err := parseStatement(text)
	if err != nil {
		return statement{}, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cache == nil || len(p.cache) >= maximumCachedStatements {
		p.cache = make(map[string]statement)
	}
	p.cache[text] = parsed
	return parsed, nil
}

func parseStatement(text string) (statement, error) {
	parsed, err := language.ParseStatement(text)
	if err != nil {
		return statement{}, err
	}
	switch parsed := parsed.(type) {
	case *language.Select:
		return statement{text: text, selection: parsed}, nil
	case *language.Insert:
		return statement{text: text, insertion: parsed}, nil
	default:
		return statement{}, errUnsupportedStatement
	}
}

// insertedRows returns the rows of an insert statement, or none for a select statement.
func (s statement) insertedRows(service string, version uint64) []rows.Row {
	if s.insertion == nil {
		return nil
	}
	columns := Columns(service)
	row := make(rows.Row, len(columns))
	for i, column := range columns {
		row[i], _ = s.insertion.Value(column)
	}
	row[len(row)-1] = rows.NewNumber(float64(version)) // version is the last column
	return []rows.Row{row}
}
