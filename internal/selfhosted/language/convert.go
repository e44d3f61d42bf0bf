package language

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rows"
)

// converter converts syntax nodes to statements and records the first error.
type converter struct {
	err *SyntaxError
}

// convert returns the statement of a syntax tree whose first token is at start.
func convert(node *statementNode, start lexer.Position) (Statement, *SyntaxError) {
	c := &converter{}
	statement := c.convertStatement(node, start)
	if c.err != nil {
		return nil, c.err
	}
	return statement, nil
}

func (c *converter) convertStatement(node *statementNode, start lexer.Position) Statement {
	switch {
	case node.Change != nil:
		return &ChangeStatement{Command: c.convertCommand(node.Change), IfRevision: c.convertRevision(node.IfRevision)}
	case node.Show != nil:
		return c.convertShow(node.Show)
	case node.Select != nil:
		return c.convertSelect(node.Select, start)
	default:
		return c.convertInsert(node.Insert, start)
	}
}

func (c *converter) fail(position lexer.Position, token, format string, arguments ...any) {
	if c.err == nil {
		c.err = newInvalidStatementError(position, token, format, arguments...)
	}
}

// failExpecting records an error that names the token and the text expected in its place.
func (c *converter) failExpecting(position lexer.Position, token, expected string) {
	if c.err == nil {
		c.err = newUnexpectedTokenError(lexer.Token{Pos: position, Value: token, Type: identType}, expected)
	}
}

func (c *converter) convertName(node nameNode) string {
	if !catalog.ValidName(node.Text) {
		c.failExpecting(node.Pos, node.Text, "a name: a lower-case letter followed by at most 62 letters, digits and hyphens")
	}
	return node.Text
}

func (c *converter) convertColumn(node columnNode) string {
	if !catalog.ValidColumn(node.Text) || IsReserved(node.Text) {
		c.failExpecting(node.Pos, node.Text, "a column: a letter followed by at most 62 letters, digits and underscores, and no keyword")
	}
	return node.Text
}

func (c *converter) convertColumns(nodes []columnNode) []string {
	var names []string
	for _, node := range nodes {
		name := c.convertColumn(node)
		for _, earlier := range names {
			if earlier == name {
				c.fail(node.Pos, node.Text, "column %q is listed twice", name)
			}
		}
		names = append(names, name)
	}
	return names
}

// maximumInteger limits integers so that they fit into an int on every platform.
const maximumInteger = math.MaxInt32

func (c *converter) convertInteger(node wholeNode) int {
	value, err := strconv.Atoi(node.Text)
	if err != nil || value < 0 || value > maximumInteger {
		c.failExpecting(node.Pos, node.Text, "a whole number from 0 to "+strconv.Itoa(maximumInteger))
	}
	return value
}

func (c *converter) convertRevision(node *wholeNode) *uint64 {
	if node == nil {
		return nil
	}
	value, err := strconv.ParseUint(node.Text, 10, 64)
	if err != nil {
		c.failExpecting(node.Pos, node.Text, "a revision: a whole number")
	}
	return &value
}

// convertShare parses a decimal number times ten to the power of exponent. The result must be from
// 0 to 1.
func (c *converter) convertShare(position lexer.Position, text string, exponent int, expected string) float64 {
	value, ok := parseScaledShare(text, exponent)
	if !ok {
		c.failExpecting(position, text, expected)
	}
	return value
}

// parseScaledShare scales the number by appending the exponent to its text, because a
// floating-point multiplication would round. It reports whether the result is from 0 to 1.
func parseScaledShare(text string, exponent int) (float64, bool) {
	value, err := strconv.ParseFloat(text+"e"+strconv.Itoa(exponent), 64)
	return value, err == nil && value >= 0 && value <= 1 && !strings.HasPrefix(text, "-")
}

func (c *converter) convertPercentile(node percentileNode) float64 {
	const expected = "a percentile from p0 to p100 such as p95"
	if text := node.Text; text[0] != 'p' && text[0] != 'P' {
		c.failExpecting(node.Pos, node.Text, expected)
	}
	share, ok := parseScaledShare(node.Text[1:], -2)
	if !ok {
		c.failExpecting(node.Pos, node.Text, expected)
	}
	return share
}

func (c *converter) convertDuration(node durationNode) time.Duration {
	duration, err := time.ParseDuration(node.Text)
	if err != nil {
		c.failExpecting(node.Pos, node.Text, "a duration such as 150ms")
	}
	return duration
}

func (c *converter) convertAddress(node addressNode) netip.AddrPort {
	address, err := netip.ParseAddrPort(node.Text)
	if err != nil || address.Port() == 0 || address.Addr().Is4In6() {
		c.failExpecting(node.Pos, node.Text, productionPhrases["AddressNode"])
	}
	return address
}

func (c *converter) convertNumber(node numberNode) rows.Value {
	number, err := strconv.ParseFloat(node.Text, 64)
	if err != nil {
		c.failExpecting(node.Pos, node.Text, "a number of at most 308 digits")
	}
	if number == 0 {
		number = 0 // replaces -0
	}
	return rows.Value{Kind: rows.Number, Number: number}
}

func (c *converter) convertLiteral(node literalNode) rows.Value {
	if node.Number != nil {
		return c.convertNumber(*node.Number)
	}
	return rows.Value{Kind: rows.Text, Text: unquoteText(node.Text.Text)}
}

func (c *converter) convertValue(node valueNode) rows.Value {
	if node.Null {
		return rows.Value{}
	}
	return c.convertLiteral(*node.Literal)
}

func unquoteText(text string) string {
	return strings.ReplaceAll(text[1:len(text)-1], "''", "'")
}
