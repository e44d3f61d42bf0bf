package language

import (
	"fmt"

	"github.com/alecthomas/participle/v2/lexer"
)

// SyntaxError says where a text stops being a statement, and why.
type SyntaxError struct {
	// Line and Column count from 1; columns are counted in characters.
	Line   int
	Column int
	// Token is the text found there; empty at the end of the statement.
	Token string
	// Expected says in words what could stand there instead; empty if the
	// error is not about the token alone.
	Expected string
	// Message says what is wrong, without the place.
	Message string
}

// Error returns the place and the message.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// maximumQuotedToken is the length in characters to which a token is cut in a
// message.
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
