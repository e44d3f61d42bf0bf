package language

import (
	"github.com/alecthomas/participle/v2/lexer"
)

// MaximumStatementBytes is the maximum length of a statement and of a text passed to
// ParseStatement.
const MaximumStatementBytes = 64 << 10

// MaximumFileBytes is the maximum length in bytes of a text passed to ParseFile.
const MaximumFileBytes = 8 << 20

// LocatedStatement is a statement and the line on which it starts. Line numbers start at 1.
type LocatedStatement struct {
	Statement Statement
	Line      int
}

// ParseStatement parses a text that contains exactly one statement. Its errors are of type
// *SyntaxError.
func ParseStatement(text string) (Statement, error) {
	if len(text) > MaximumStatementBytes {
		return nil, newLengthError(len(text), MaximumStatementBytes)
	}
	located, err := parseText(text)
	if err != nil {
		return nil, err
	}
	switch len(located) {
	case 0:
		return nil, newInvalidStatementError(lexer.Position{Line: 1, Column: 1}, "", "there is no statement")
	case 1:
		return located[0].Statement, nil
	default:
		return nil, newInvalidStatementError(lexer.Position{Line: located[1].Line, Column: 1}, "", "there is more than one statement")
	}
}

// ParseFile parses the statements of a text of at most MaximumFileBytes bytes. Its errors are of
// type *SyntaxError.
func ParseFile(text string) ([]LocatedStatement, error) {
	if len(text) > MaximumFileBytes {
		return nil, newLengthError(len(text), MaximumFileBytes)
	}
	return parseText(text)
}

func newLengthError(length, limit int) *SyntaxError {
	return newInvalidStatementError(lexer.Position{Line: 1, Column: 1}, "", "the text has %d bytes, the limit is %d", length, limit)
}

func parseText(text string) ([]LocatedStatement, error) {
	statements, syntaxError := tokenize(text)
	if syntaxError != nil {
		return nil, syntaxError
	}
	located := make([]LocatedStatement, 0, len(statements))
	for i := range statements {
		statement, syntaxError := parseStatement(&statements[i])
		if syntaxError != nil {
			return nil, syntaxError
		}
		located = append(located, LocatedStatement{Statement: statement, Line: statements[i].tokens[0].Pos.Line})
	}
	return located, nil
}

func parseStatement(tokenized *statementTokens) (Statement, *SyntaxError) {
	first := tokenized.tokens[0].Pos
	if length := tokenized.end.Pos.Offset - first.Offset; length > MaximumStatementBytes {
		return nil, newInvalidStatementError(first, "", "the statement has %d bytes, the limit is %d", length, MaximumStatementBytes)
	}
	if err := checkNesting(tokenized.tokens); err != nil {
		return nil, err
	}
	markKeywords(tokenized.tokens)
	source, err := lexer.Upgrade(&tokenSource{statement: tokenized})
	if err != nil {
		return nil, newInvalidStatementError(first, "", "%s", err)
	}
	node, err := parser.ParseFromLexer(source)
	if err != nil {
		return nil, newParseError(tokenized)
	}
	return convert(node, first)
}
