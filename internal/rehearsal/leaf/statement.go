package leaf

import (
	"errors"
	"sync"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// statement is a select or an insert.
type statement struct {
	text      string
	selection *language.Select
	insertion *language.Insert
}

var errUnsupportedStatement = errors.New("a leaf runs only select and insert")

// rememberedStatements bounds the statements that a parser remembers.
const maximumCachedStatements = 1024

// parser parses statements and remembers them.
type statementParser struct {
	mutex  sync.Mutex
	cached map[string]statement
}

func (p *statementParser) parse(text string) (statement, error) {
	p.mutex.Lock()
	parsed, cached := p.cached[text]
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
	if p.cached == nil || len(p.cached) >= maximumCachedStatements {
		p.cached = make(map[string]statement)
	}
	p.cached[text] = parsed
	return parsed, nil
}

func parseStatement(text string) (statement, error) {
	parsed, err := language.ParseOne(text)
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

// inserts returns the rows to insert, none for a select.
func (s statement) insertedRows(service string, version uint64) []rows.Row {
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
