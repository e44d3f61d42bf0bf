package language

import (
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2/ebnf"
	"github.com/alecthomas/participle/v2/lexer"
)

// The parser's own errors tell the rest of one production. For people, this
// file works out everything that could stand at the furthest place that the
// tokens reach, from the grammar's own EBNF, so that the grammar is written
// once.

// phrases are the words for productions; one that fails at its first token is
// named by its phrase.
var phrases = map[string]string{
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
	// rootName is the production of a whole statement.
	rootName = "StatementNode"
)

var (
	productions = parseProductions(parser.String())
	tokenNames  = lowerTokenNames()
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

func lowerTokenNames() map[lexer.TokenType]string {
	names := make(map[lexer.TokenType]string)
	for name, tokenType := range definition.Symbols() {
		names[tokenType] = strings.ToLower(name)
	}
	return names
}

// explain returns the syntax error of a statement that does not parse.
func explain(line *tokenLine) *SyntaxError {
	m := &matcher{tokens: line.tokens, memory: make(map[visit][]int)}
	for _, end := range m.production(rootName, 0) {
		m.miss(end, endOfStatement)
	}
	found := line.end
	if m.furthest < len(line.tokens) {
		found = line.tokens[m.furthest]
	}
	return unexpected(found, m.expectation())
}

// matcher matches tokens against the grammar, following all alternatives at
// once, and notes what was missing at the furthest place. Each method returns
// the places, in order, at which what it matched can end.
type matcher struct {
	tokens   []lexer.Token
	memory   map[visit][]int
	furthest int
	missing  []string
	// phrase names what starts at phraseStart, if it is not empty.
	phrase      string
	phraseStart int
}

type visit struct {
	production string
	start      int
}

func (m *matcher) production(name string, start int) []int {
	key := visit{production: name, start: start}
	if ends, known := m.memory[key]; known {
		return ends
	}
	phrase, named := phrases[name]
	outermost := named && (m.phrase == "" || m.phraseStart != start)
	if outermost {
		defer func(phrase string, start int) { m.phrase, m.phraseStart = phrase, start }(m.phrase, m.phraseStart)
		m.phrase, m.phraseStart = phrase, start
	}
	ends := m.expression(productions[name], start)
	m.memory[key] = ends
	return ends
}

func (m *matcher) expression(expression *ebnf.Expression, start int) []int {
	var ends []int
	for _, alternative := range expression.Alternatives {
		ends = append(ends, m.sequence(alternative, start)...)
	}
	return unique(ends)
}

func (m *matcher) sequence(sequence *ebnf.Sequence, start int) []int {
	places := []int{start}
	for _, term := range sequence.Terms {
		var next []int
		for _, place := range places {
			next = append(next, m.term(term, place)...)
		}
		places = unique(next)
	}
	return places
}

func (m *matcher) term(term *ebnf.Term, start int) []int {
	switch term.Repetition {
	case "?":
		return unique(append(m.single(term, start), start))
	case "*":
		return m.repeat(term, []int{start})
	case "+":
		return m.repeat(term, m.single(term, start))
	default:
		return m.single(term, start)
	}
}

// repeat returns all places reached from places by any number of matches.
func (m *matcher) repeat(term *ebnf.Term, places []int) []int {
	reached := make(map[int]bool, len(places))
	for _, place := range places {
		reached[place] = true
	}
	for i := 0; i < len(places); i++ {
		for _, end := range m.single(term, places[i]) {
			if !reached[end] {
				reached[end] = true
				places = append(places, end)
			}
		}
	}
	return unique(places)
}

func (m *matcher) single(term *ebnf.Term, start int) []int {
	switch {
	case term.Name != "":
		return m.production(term.Name, start)
	case term.Group != nil:
		return m.expression(term.Group.Expr, start)
	case term.Literal != "":
		literal, _ := strconv.Unquote(term.Literal)
		return m.token(start, strconv.Quote(literal), func(token lexer.Token) bool {
			return token.Value == literal || (token.Type == identType && strings.EqualFold(token.Value, literal))
		})
	default:
		return m.token(start, "a "+term.Token, func(token lexer.Token) bool {
			return tokenNames[token.Type] == term.Token
		})
	}
}

func (m *matcher) token(place int, description string, matches func(lexer.Token) bool) []int {
	if place < len(m.tokens) && matches(m.tokens[place]) {
		return []int{place + 1}
	}
	if m.phrase != "" && m.phraseStart == place {
		description = m.phrase
	}
	m.miss(place, description)
	return nil
}

func (m *matcher) miss(place int, description string) {
	if place > m.furthest {
		m.furthest = place
		m.missing = nil
	}
	if place == m.furthest && !slices.Contains(m.missing, description) {
		m.missing = append(m.missing, description)
	}
}

// expectation joins what was missing: "a", "b" or "c", phrases last.
func (m *matcher) expectation() string {
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

func unique(places []int) []int {
	slices.Sort(places)
	return slices.Compact(places)
}
