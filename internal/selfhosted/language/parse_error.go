package language

import (
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2/ebnf"
	"github.com/alecthomas/participle/v2/lexer"
)

// The errors of the parser library name only the remainder of one production. This file derives all
// tokens that are valid at the furthest position that the statement's tokens reach. It uses the
// EBNF that the parser generates, so that the grammar has a single definition.

// productionPhrases describes productions in error messages. A production that fails at its first
// token is described by its phrase.
var productionPhrases = map[string]string{
	"NameNode":       "a name",
	"ColumnNode":     "a column",
	"ItemNode":       "a column or a function of one",
	"OperatorNode":   "a comparison such as =",
	"WholeNode":      "a whole number",
	"ShareNode":      "a share from 0 to 1",
	"PercentNode":    "a percentage such as 3%",
	"ValueNode":      "a value",
	"LiteralNode":    "a value",
	"TextNode":       "a text in single quotes",
	"DurationNode":   "a duration such as 150ms",
	"PercentileNode": "a percentile such as p95",
	"AddressNode":    "an IP address with a port such as 127.0.0.1:7101",
}

const (
	endOfStatement = "the end of the statement"
	// rootProduction is the production of a whole statement.
	rootProduction = "StatementNode"
)

var (
	productions         = parseProductions(parser.String())
	lowerCaseTokenNames = collectTokenNames()
)

func parseProductions(text string) map[string]*ebnf.Expression {
	grammar, err := ebnf.ParseString(text)
	if err != nil {
		panic("the grammar's own EBNF does not parse: " + err.Error())
	}
	byName := make(map[string]*ebnf.Expression, len(grammar.Productions))
	for _, production := range grammar.Productions {
		byName[production.Production] = production.Expression
	}
	return byName
}

func collectTokenNames() map[lexer.TokenType]string {
	names := make(map[lexer.TokenType]string)
	for name, tokenType := range lexerDefinition.Symbols() {
		names[tokenType] = strings.ToLower(name)
	}
	return names
}

// newParseError returns the syntax error of a statement that the parser refused.
func newParseError(statement *statementTokens) *SyntaxError {
	m := &matcher{tokens: statement.tokens, memo: make(map[memoKey][]int)}
	for _, end := range m.matchProduction(rootProduction, 0) {
		m.recordMissing(end, endOfStatement)
	}
	actual := statement.end
	if m.furthest < len(statement.tokens) {
		actual = statement.tokens[m.furthest]
	}
	return newUnexpectedTokenError(actual, m.formatExpectation())
}

// matcher matches tokens against the grammar. It follows all alternatives and records which tokens
// were missing at the furthest position. Each match method returns the positions, in ascending
// order, at which its match can end.
type matcher struct {
	tokens   []lexer.Token
	memo     map[memoKey][]int
	furthest int
	missing  []string
	// phrase describes the outermost production that is being matched from phraseStart. It is empty
	// outside of the productions in productionPhrases.
	phrase      string
	phraseStart int
}

// memoKey identifies a match of a production at a position.
type memoKey struct {
	production string
	start      int
}

func (m *matcher) matchProduction(name string, start int) []int {
	key := memoKey{production: name, start: start}
	if ends, cached := m.memo[key]; cached {
		return ends
	}
	phrase, hasPhrase := productionPhrases[name]
	outermost := hasPhrase && (m.phrase == "" || m.phraseStart != start)
	if outermost {
		defer func(phrase string, start int) { m.phrase, m.phraseStart = phrase, start }(m.phrase, m.phraseStart)
		m.phrase, m.phraseStart = phrase, start
	}
	ends := m.matchExpression(productions[name], start)
	m.memo[key] = ends
	return ends
}

func (m *matcher) matchExpression(expression *ebnf.Expression, start int) []int {
	var ends []int
	for _, alternative := range expression.Alternatives {
		ends = append(ends, m.matchSequence(alternative, start)...)
	}
	return sortUnique(ends)
}

func (m *matcher) matchSequence(sequence *ebnf.Sequence, start int) []int {
	positions := []int{start}
	for _, term := range sequence.Terms {
		var next []int
		for _, position := range positions {
			next = append(next, m.matchTerm(term, position)...)
		}
		positions = sortUnique(next)
	}
	return positions
}

func (m *matcher) matchTerm(term *ebnf.Term, start int) []int {
	switch term.Repetition {
	case "?":
		return sortUnique(append(m.matchOnce(term, start), start))
	case "*":
		return m.matchRepeated(term, []int{start})
	case "+":
		return m.matchRepeated(term, m.matchOnce(term, start))
	default:
		return m.matchOnce(term, start)
	}
}

// matchRepeated returns all positions that zero or more matches of the term reach from the given
// positions.
func (m *matcher) matchRepeated(term *ebnf.Term, positions []int) []int {
	reached := make(map[int]bool, len(positions))
	for _, position := range positions {
		reached[position] = true
	}
	for i := 0; i < len(positions); i++ {
		for _, end := range m.matchOnce(term, positions[i]) {
			if !reached[end] {
				reached[end] = true
				positions = append(positions, end)
			}
		}
	}
	return sortUnique(positions)
}

func (m *matcher) matchOnce(term *ebnf.Term, start int) []int {
	switch {
	case term.Name != "":
		return m.matchProduction(term.Name, start)
	case term.Group != nil:
		return m.matchExpression(term.Group.Expr, start)
	case term.Literal != "":
		literal, _ := strconv.Unquote(term.Literal)
		return m.matchToken(start, strconv.Quote(literal), func(token lexer.Token) bool {
			return token.Value == literal || (token.Type == identType && strings.EqualFold(token.Value, literal))
		})
	default:
		return m.matchToken(start, "a "+term.Token, func(token lexer.Token) bool {
			return lowerCaseTokenNames[token.Type] == term.Token
		})
	}
}

func (m *matcher) matchToken(position int, description string, matches func(lexer.Token) bool) []int {
	if position < len(m.tokens) && matches(m.tokens[position]) {
		return []int{position + 1}
	}
	if m.phrase != "" && m.phraseStart == position {
		description = m.phrase
	}
	m.recordMissing(position, description)
	return nil
}

func (m *matcher) recordMissing(position int, description string) {
	if position > m.furthest {
		m.furthest = position
		m.missing = nil
	}
	if position == m.furthest && !slices.Contains(m.missing, description) {
		m.missing = append(m.missing, description)
	}
}

// formatExpectation joins the descriptions of the missing tokens, as in "a", "b" or c. Quoted
// literals come first and phrases last.
func (m *matcher) formatExpectation() string {
	slices.SortFunc(m.missing, func(a, b string) int {
		quotedA, quotedB := strings.HasPrefix(a, `"`), strings.HasPrefix(b, `"`)
		if quotedA != quotedB {
			if quotedA {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	last := len(m.missing) - 1
	if last < 1 {
		return strings.Join(m.missing, "")
	}
	return strings.Join(m.missing[:last], ", ") + " or " + m.missing[last]
}

// sortUnique sorts the positions and removes duplicates.
func sortUnique(positions []int) []int {
	slices.Sort(positions)
	return slices.Compact(positions)
}
