package language

import (
	"github.com/alecthomas/participle/v2/lexer"
)

// MaximumStatement is the largest length of a statement in bytes, and of a
// text that Parse takes.
const MaximumStatement = 64 << 10

// MaximumFile is the largest length in bytes of a text that ParseFile takes.
const MaximumFile = 8 << 20

// Located is a statement with the line, counted from 1, on which it starts.
type Located struct {
	Statement Statement
	Line      int
}

// ParseOne returns the only statement of a text; a text with none or with
// more than one is an error. Its errors are of type *SyntaxError.
func ParseOne(text string) (Statement, error) {
	if len(text) > MaximumStatement {
		return nil, tooLong(len(text), MaximumStatement)
	}
	located, err := parseText(text)
	if err != nil {
		return nil, err
	}
	switch len(located) {
	case 0:
		return nil, invalidAt(lexer.Position{Line: 1, Column: 1}, "", "there is no statement")
	case 1:
		return located[0].Statement, nil
	default:
		return nil, invalidAt(lexer.Position{Line: located[1].Line, Column: 1}, "", "there is more than one statement")
	}
}

// ParseFile returns the statements of a text of at most MaximumFile bytes with
// their lines. Its errors are of type *SyntaxError.
func ParseFile(text string) ([]Located, error) {
	if len(text) > MaximumFile {
		return nil, tooLong(len(text), MaximumFile)
	}
	return parseText(text)
}

func tooLong(length, limit int) *SyntaxError {
	return invalidAt(lexer.Position{Line: 1, Column: 1}, "", "the text has %d bytes, the limit is %d", length, limit)
}

func parseText(text string) ([]Located, error) {
	lines, syntaxError := tokenize(text)
	if syntaxError != nil {
		return nil, syntaxError
	}
	located := make([]Located, 0, len(lines))
	for i := range lines {
		statement, syntaxError := parseLine(&lines[i])
		if syntaxError != nil {
			return nil, syntaxError
		}
		located = append(located, Located{Statement: statement, Line: lines[i].tokens[0].Pos.Line})
	}
	return located, nil
}

func parseLine(line *tokenLine) (Statement, *SyntaxError) {
	first := line.tokens[0].Pos
	if length := line.end.Pos.Offset - first.Offset; length > MaximumStatement {
		return nil, invalidAt(first, "", "the statement has %d bytes, the limit is %d", length, MaximumStatement)
	}
	if err := checkNesting(line.tokens); err != nil {
		return nil, err
	}
	markKeywords(line.tokens)
	source, err := lexer.Upgrade(&tokenSource{line: line})
	if err != nil {
		return nil, invalidAt(first, "", "%s", err)
	}
	node, err := parser.ParseFromLexer(source)
	if err != nil {
		return nil, explain(line)
	}
	return convert(node, first)
}
