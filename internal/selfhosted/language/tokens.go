package language

import (
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"
)

// tokenRule defines one kind of token.
type tokenRule struct {
	name    string
	pattern string
	// firstBytes lists the bytes with which a token can start. Empty means any byte.
	firstBytes string
}

const (
	digits  = "0123456789"
	letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_"
)

// tokenRules lists the kinds of tokens in order of precedence. Other matches any character that no
// rule before it matches, so that the error has the position of the character.
var tokenRules = []tokenRule{
	{"Space", `[ \t\r]+`, " \t\r"},
	{"Percentile", `[pP][0-9]+\.[0-9]+`, "pP"},
	{"Ident", `[A-Za-z_][A-Za-z0-9_-]*`, letters},
	{"Operator", `!=|<>|<=|>=|[=<>]`, "!<>="},
	{"Punctuation", `[(),*%;]`, "(),*%;"},
	{"Text", `'([^']|'')*'`, "'"},
	{"Address", `\[[0-9A-Fa-f:.]+\](:[0-9]+)?|[0-9]+\.[0-9]+\.[0-9]+\.[0-9]+(:[0-9]+)?`, "[" + digits},
	{"Duration", `([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+`, digits},
	{"Number", `-?[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+)?`, "-" + digits},
	{"Newline", `\n`, "\n"},
	{"Comment", `--[^\n]*`, "-"},
	{"Unclosed", `'[^\n]*`, "'"},
	{"Keyword", `\x00keyword`, "\x00"}, // markKeywords converts Ident to Keyword
	{"Other", `(?s).`, ""},
}

// lexerDefinition is the lexer with which the grammar is built.
var lexerDefinition = lexer.MustSimple(convertTokenRules())

func convertTokenRules() []lexer.SimpleRule {
	rules := make([]lexer.SimpleRule, len(tokenRules))
	for i, rule := range tokenRules {
		rules[i] = lexer.SimpleRule{Name: rule.name, Pattern: rule.pattern}
	}
	return rules
}

// Token types to which the code refers.
var (
	commentType  = lexerDefinition.Symbols()["Comment"]
	newlineType  = lexerDefinition.Symbols()["Newline"]
	spaceType    = lexerDefinition.Symbols()["Space"]
	identType    = lexerDefinition.Symbols()["Ident"]
	keywordType  = lexerDefinition.Symbols()["Keyword"]
	unclosedType = lexerDefinition.Symbols()["Unclosed"]
)

// reserved lists the words that are not valid column names. Reserving them makes a missing column a
// syntax error.
var reserved = map[string]bool{
	"select": true, "from": true, "where": true, "and": true, "or": true,
	"not": true, "in": true, "like": true, "is": true, "null": true,
	"group": true, "order": true, "by": true, "asc": true, "desc": true,
	"limit": true, "insert": true, "into": true, "values": true,
}

// IsReserved reports whether the word is reserved and is therefore not a valid column name.
func IsReserved(word string) bool { return reserved[strings.ToLower(word)] }

// statementTokens holds the tokens of one statement. end is an EOF token with the position of its
// end.
type statementTokens struct {
	tokens []lexer.Token
	end    lexer.Token
}

// tokenize splits a text into statements and their tokens. It drops spaces, comments and empty
// statements.
func tokenize(text string) ([]statementTokens, *SyntaxError) {
	if err := checkUTF8(text); err != nil {
		return nil, err
	}
	source := newScanner(text)
	var statements []statementTokens
	var current []lexer.Token
	for {
		token := source.next()
		switch {
		case token.EOF(), token.Type == newlineType, token.Value == ";":
			if len(current) > 0 {
				statements = append(statements, statementTokens{tokens: current, end: lexer.EOFToken(token.Pos)})
			}
			if token.EOF() {
				return statements, nil
			}
			current = nil
		case token.Type == unclosedType:
			return nil, newInvalidStatementError(token.Pos, token.Value, "the text that starts here has no closing quote")
		case token.Type != spaceType && token.Type != commentType:
			current = append(current, token)
		}
	}
}

func checkUTF8(text string) *SyntaxError {
	if utf8.ValidString(text) {
		return nil
	}
	position := lexer.Position{Line: 1, Column: 1}
	for index, character := range text {
		if character == utf8.RuneError {
			if _, width := utf8.DecodeRuneInString(text[index:]); width == 1 {
				position.Advance(text[:index])
				break
			}
		}
	}
	return newInvalidStatementError(position, "", "the text is not valid UTF-8 here")
}

// markKeywords converts the reserved words of a select or insert statement to keywords in lower
// case, so that the parser does not accept them as columns.
func markKeywords(tokens []lexer.Token) {
	first := strings.ToLower(tokens[0].Value)
	if first != "select" && first != "insert" {
		return
	}
	for i, token := range tokens {
		if token.Type == identType && IsReserved(token.Value) {
			tokens[i].Type = keywordType
			tokens[i].Value = strings.ToLower(token.Value)
		}
	}
}

// maximumNesting is the maximum nesting depth of parentheses.
const maximumNesting = 64

func checkNesting(tokens []lexer.Token) *SyntaxError {
	depth := 0
	for _, token := range tokens {
		switch token.Value {
		case "(":
			depth++
		case ")":
			depth--
		}
		if depth > maximumNesting {
			return newInvalidStatementError(token.Pos, token.Value, "parentheses are nested more than %d deep", maximumNesting)
		}
	}
	return nil
}

// tokenSource implements lexer.Lexer with the tokens of one statement.
type tokenSource struct {
	statement *statementTokens
	next      int
}

// Next implements lexer.Lexer.
func (s *tokenSource) Next() (lexer.Token, error) {
	if s.next >= len(s.statement.tokens) {
		return s.statement.end, nil
	}
	s.next++
	return s.statement.tokens[s.next-1], nil
}
