package language

import (
	"regexp"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// scanner splits a text into the same tokens as lexerDefinition. It is faster, because it tries
// only the rules that can match the next byte.
type scanner struct {
	remaining string
	position  lexer.Position
}

func newScanner(text string) *scanner {
	return &scanner{remaining: text, position: lexer.Position{Line: 1, Column: 1}}
}

// compiledRule is a token rule with its compiled pattern and its token type.
type compiledRule struct {
	pattern   *regexp.Regexp
	tokenType lexer.TokenType
}

// rulesByFirstByte lists, for each byte, the rules of tokens that can start with the byte.
var rulesByFirstByte = compileRules()

func compileRules() [256][]compiledRule {
	var byFirstByte [256][]compiledRule
	for _, rule := range tokenRules {
		compiled := compiledRule{
			pattern:   regexp.MustCompile(`^(?:` + rule.pattern + `)`),
			tokenType: lexerDefinition.Symbols()[rule.name],
		}
		for start := range byFirstByte {
			if rule.firstBytes == "" || strings.IndexByte(rule.firstBytes, byte(start)) >= 0 {
				byFirstByte[start] = append(byFirstByte[start], compiled)
			}
		}
	}
	return byFirstByte
}

// next returns the next token, or an EOF token at the end of the text.
func (s *scanner) next() lexer.Token {
	if s.remaining == "" {
		return lexer.EOFToken(s.position)
	}
	for _, rule := range rulesByFirstByte[s.remaining[0]] {
		if location := rule.pattern.FindStringIndex(s.remaining); location != nil {
			token := lexer.Token{Type: rule.tokenType, Value: s.remaining[:location[1]], Pos: s.position}
			s.remaining = s.remaining[location[1]:]
			s.position.Advance(token.Value)
			return token
		}
	}
	// Unreachable for valid UTF-8, because the last rule matches any character.
	return lexer.EOFToken(s.position)
}
