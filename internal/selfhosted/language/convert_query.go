package language

import (
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/micaplank/micaplank/internal/rows"
)

func (c *converter) convertSelect(node *selectNode, start lexer.Position) *Select {
	statement := &Select{Service: c.convertName(node.Service), GroupBy: c.convertColumns(node.GroupBy)}
	for _, itemNode := range node.Items {
		item := c.convertItem(itemNode)
		if slices.Contains(statement.Items, item) {
			c.fail(itemNode.Pos, item.String(), "%s is selected twice", item)
		}
		statement.Items = append(statement.Items, item)
	}
	if node.Where != nil {
		statement.Where = c.convertOr(node.Where)
	}
	if node.Limit != nil {
		statement.Limit = c.convertInteger(*node.Limit)
		if statement.Limit == 0 {
			c.failExpecting(node.Limit.Pos, node.Limit.Text, "a whole number of at least 1")
		}
	}
	c.checkGroupedColumns(statement, node, start)
	for _, orderNode := range node.OrderBy {
		statement.OrderBy = append(statement.OrderBy, c.convertOrder(statement, orderNode))
	}
	return statement
}

// checkGroupedColumns refuses plain columns that can have different values within a group.
func (c *converter) checkGroupedColumns(statement *Select, node *selectNode, start lexer.Position) {
	if !statement.IsGrouped() {
		return
	}
	if len(statement.Items) == 0 {
		c.fail(start, "", "select * cannot be grouped: name the columns")
	}
	for i, item := range statement.Items {
		if item.Function == NoFunction && !slices.Contains(statement.GroupBy, item.Column) {
			c.fail(node.Items[i].Pos, item.Column, "column %q must be in the group by, or inside of a function", item.Column)
		}
	}
}

// convertOrder resolves a term of an order by clause to an item of the result. A plain column that
// is not selected resolves to the only selected function of that column, as in "select min(price)
// ... order by price".
func (c *converter) convertOrder(statement *Select, node orderNode) Order {
	order := Order{Item: c.convertItem(node.Item), Descending: node.Descending}
	if slices.Contains(statement.Items, order.Item) {
		return order
	}
	if len(statement.Items) == 0 && order.Item.Function == NoFunction {
		return order
	}
	var candidates []Item
	for _, item := range statement.Items {
		if order.Item.Function == NoFunction && item.Column == order.Item.Column {
			candidates = append(candidates, item)
		}
	}
	if len(candidates) != 1 {
		c.fail(node.Item.Pos, order.Item.String(), "%s must be selected to be ordered by", order.Item)
		return order
	}
	order.Item = candidates[0]
	return order
}

func (c *converter) convertItem(node itemNode) Item {
	switch {
	case node.Function != "":
		return Item{Function: Function(strings.ToLower(node.Function)), Column: c.convertColumn(*node.Argument)}
	case node.Count && node.Counted == AllColumns:
		return Item{Function: Count, Column: AllColumns}
	case node.Count:
		return Item{Function: Count, Column: c.convertColumn(columnNode{Pos: node.Pos, Text: node.Counted})}
	default:
		return Item{Column: c.convertColumn(*node.Column)}
	}
}

func (c *converter) convertOr(node *orNode) Condition {
	terms := make([]Condition, len(node.Terms))
	for i := range node.Terms {
		terms[i] = c.convertAnd(&node.Terms[i])
	}
	if len(terms) == 1 {
		return terms[0]
	}
	return &Or{Terms: terms}
}

func (c *converter) convertAnd(node *andNode) Condition {
	terms := make([]Condition, len(node.Terms))
	for i := range node.Terms {
		terms[i] = c.convertNot(&node.Terms[i])
	}
	if len(terms) == 1 {
		return terms[0]
	}
	return &And{Terms: terms}
}

func (c *converter) convertNot(node *notNode) Condition {
	var term Condition
	if node.Group != nil {
		term = c.convertOr(node.Group)
	} else {
		term = c.convertCondition(node.Condition)
	}
	if node.Not {
		return &Not{Term: term}
	}
	return term
}

func (c *converter) convertCondition(node *conditionNode) Condition {
	column := c.convertColumn(node.Column)
	switch {
	case node.Like != nil:
		return &Like{Column: column, Pattern: unquoteText(node.Like.Text)}
	case node.Is != nil:
		return &IsNull{Column: column, Negated: node.Is.Not}
	case node.Operator != nil:
		return &Comparison{Column: column, Operator: parseOperator(node.Operator.Text), Value: c.convertLiteral(*node.Value)}
	default:
		return &In{Column: column, Values: c.convertLiterals(node.In)}
	}
}

func (c *converter) convertLiterals(nodes []literalNode) []rows.Value {
	values := make([]rows.Value, len(nodes))
	for i, node := range nodes {
		values[i] = c.convertLiteral(node)
	}
	return values
}

func parseOperator(text string) Operator {
	if text == "<>" {
		return NotEqual
	}
	return Operator(text)
}

func (c *converter) convertInsert(node *insertNode, start lexer.Position) *Insert {
	statement := &Insert{Service: c.convertName(node.Service), Columns: c.convertColumns(node.Columns)}
	for _, value := range node.Values {
		statement.Values = append(statement.Values, c.convertValue(value))
	}
	if len(statement.Columns) != len(statement.Values) {
		c.fail(start, "", "there are %d columns and %d values", len(statement.Columns), len(statement.Values))
	}
	return statement
}
