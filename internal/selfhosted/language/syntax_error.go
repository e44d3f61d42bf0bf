package language

import (
	"fmt"

	"github.com/alecthomas/participle/v2/lexer"
)

// SyntaxError describes an invalid statement and the position of the error.
type SyntaxError struct {
	// Line and Column start at 1. Column counts characters.
	Line   int
	Column int
	// Token is the text at the position. It is empty at the end of the statement.
	Token string
	// Expected describes the tokens that are valid at the position. It is empty if the error
	// concerns more than the token.
	Expected string
	// Message describes the error without its position.
	Message string
}

// Error returns the position and the message.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// maximumQuotedToken is the number of characters to which a message truncates a token.
const maximumQuotedToken = 40

func newUnexpectedTokenError(token lexer.Token, expected string) *SyntaxError {
	return &SyntaxError{
		Line:     token.Pos.Line,
		Column:   token.Pos.Column,
		Token:    token.Value,
		Expected: expected,
		Message:  fmt.Sprintf("found %s, expected %s", describeToken(token), expected),
	}
}

func newInvalidStatementError(position lexer.Position, token, format string, arguments ...any) *SyntaxError {
	return &SyntaxError{
		Line:    position.Line,
		Column:  position.Column,
		Token:   token,
		Message: fmt.Sprintf(format, arguments...),
	}
}

func describeToken(token lexer.Token) string {
	if token.EOF() {
		return "the end of the statement"
	}
	characters := []rune(token.Value)
	if len(characters) > maximumQuotedToken {
		return fmt.Sprintf("%q...", string(characters[:maximumQuotedToken]))
	}
	return fmt.Sprintf("%q", token.Value)
}
