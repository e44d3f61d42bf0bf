package language

import (
	"regexp"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// scanner splits text into the same tokens as definition does. It tries only
// the rules that can match the next character, which definition does not know
// to do.
type scanner struct {
	rest     string
	position lexer.Position
}

func newScanner(text string) *scanner {
	return &scanner{rest: text, position: lexer.Position{Line: 1, Column: 1}}
}

// candidate is a rule that can match.
type candidate struct {
	pattern   *regexp.Regexp
	tokenType lexer.TokenType
}

// candidates lists, for each first byte of a token, the rules that can match.
var candidates = listCandidates()

func listCandidates() [256][]candidate {
	var byStart [256][]candidate
	for _, rule := range tokenRules {
		compiled := candidate{
			pattern:   regexp.MustCompile(`^(?:` + rule.pattern + `)`),
			tokenType: definition.Symbols()[rule.name],
		}
		for start := range byStart {
			if rule.starts == "" || strings.IndexByte(rule.starts, byte(start)) >= 0 {
				byStart[start] = append(byStart[start], compiled)
			}
		}
	}
	return byStart
}

// next returns the next token; at the end of the text, one that is EOF.
func (s *scanner) next() lexer.Token {
	if s.rest == "" {
		return lexer.EOFToken(s.position)
	}
	for _, candidate := range candidates[s.rest[0]] {
		if place := candidate.pattern.FindStringIndex(s.rest); place != nil {
			token := lexer.Token{Type: candidate.tokenType, Value: s.rest[:place[1]], Pos: s.position}
			s.rest = s.rest[place[1]:]
			s.position.Advance(token.Value)
			return token
		}
	}
	// Not reached for valid UTF-8: the last rule matches any character.
	return lexer.EOFToken(s.position)
}
