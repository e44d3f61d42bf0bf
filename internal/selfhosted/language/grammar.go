package language

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The types in this file define the grammar. The parser is built from the field tags. The
// expectations in syntax errors are derived from the same tags and refer to the type names (see
// parse_error.go). The converter in convert.go converts the nodes to statements.

var parser = participle.MustBuild[statementNode](
	participle.Lexer(lexerDefinition),
	participle.CaseInsensitive("Ident"),
	participle.UseLookahead(2),
)

// statementNode lists the most frequent statements first, because the parser tries the alternatives
// in order.
type statementNode struct {
	Select     *selectNode `parser:"'select' @@"`
	Insert     *insertNode `parser:"| 'insert' 'into' @@"`
	Show       *showNode   `parser:"| 'show' @@"`
	Change     *changeNode `parser:"| ( @@"`
	IfRevision *wholeNode  `parser:"( 'if' 'revision' @@ )? )"`
}

type changeNode struct {
	CreateService *createServiceNode `parser:"'create' 'service' @@"`
	DropService   *nameNode          `parser:"| 'drop' ( 'service' @@"`
	DropClass     *dropClassNode     `parser:"| 'class' @@ )"`
	Repartition   *repartitionNode   `parser:"| 'repartition' 'service' @@"`
	DefineClass   *classNode         `parser:"| 'class' @@"`
	AddLeaf       *addLeafNode       `parser:"| 'add' ( 'leaf' @@"`
	AddVoter      *addVoterNode      `parser:"| 'voter' @@ )"`
	RetireLeaf    *addressNode       `parser:"| 'retire' 'leaf' @@"`
	RemoveLeaf    *addressNode       `parser:"| 'remove' ( 'leaf' @@"`
	RemoveVoter   *nameNode          `parser:"| 'voter' @@ )"`
	Limit         *limitNode         `parser:"| 'limit' @@"`
	Stop          *nameNode          `parser:"| 'stop' 'service' @@"`
	Start         *nameNode          `parser:"| 'start' 'service' @@"`
}

type createServiceNode struct {
	Name      nameNode    `parser:"@@"`
	Shards    wholeNode   `parser:"'shards' @@"`
	Replicas  wholeNode   `parser:"'replicas' @@"`
	KeyColumn *columnNode `parser:"( 'key' @@ )?"`
}

type dropClassNode struct {
	Name    nameNode `parser:"@@"`
	Service nameNode `parser:"'on' @@"`
}

type repartitionNode struct {
	Service nameNode  `parser:"@@"`
	Shards  wholeNode `parser:"'shards' @@"`
}

type classNode struct {
	Name       nameNode        `parser:"@@"`
	Service    nameNode        `parser:"'on' @@"`
	Priority   wholeNode       `parser:"'priority' @@"`
	Deadline   durationNode    `parser:"'deadline' @@"`
	Coverage   *shareNode      `parser:"( 'coverage' @@ )?"`
	Hedge      *percentileNode `parser:"( 'hedge' 'after' @@ )?"`
	Extra      *percentNode    `parser:"( 'extra' @@ )?"`
	Repeatable bool            `parser:"( @'repeatable'"`
	Once       bool            `parser:"| @'once' )"`
}

type addLeafNode struct {
	Address addressNode `parser:"@@"`
	Service nameNode    `parser:"'to' @@"`
	Zone    nameNode    `parser:"'zone' @@"`
	Shards  []wholeNode `parser:"'shards' @@ ( ',' @@ )*"`
}

type addVoterNode struct {
	Name nameNode `parser:"@@"`
	Zone nameNode `parser:"'zone' @@"`
}

type limitNode struct {
	Service     nameNode  `parser:"@@"`
	Concurrency wholeNode `parser:"'concurrency' @@"`
}

type showNode struct {
	GlobalSubject  string    `parser:"@( 'services' | 'changes' | 'voters' | 'nodes' )"`
	ServiceSubject string    `parser:"| @( 'leaves' | 'classes' )"`
	Service        *nameNode `parser:"( 'of' @@ )?"`
}

type selectNode struct {
	All     bool         `parser:"( @'*'"`
	Items   []itemNode   `parser:"| @@ ( ',' @@ )* )"`
	Service nameNode     `parser:"'from' @@"`
	Where   *orNode      `parser:"( 'where' @@ )?"`
	GroupBy []columnNode `parser:"( 'group' 'by' @@ ( ',' @@ )* )?"`
	OrderBy []orderNode  `parser:"( 'order' 'by' @@ ( ',' @@ )* )?"`
	Limit   *wholeNode   `parser:"( 'limit' @@ )?"`
}

type itemNode struct {
	Pos      lexer.Position
	Function string      `parser:"( @( 'sum' | 'min' | 'max' | 'avg' ) '('"`
	Argument *columnNode `parser:"@@ ')' )"`
	Count    bool        `parser:"| ( @'count' '('"`
	Counted  string      `parser:"@( '*' | Ident ) ')' )"`
	Column   *columnNode `parser:"| @@"`
}

type orderNode struct {
	Item       itemNode `parser:"@@"`
	Descending bool     `parser:"( 'asc' | @'desc' )?"`
}

type orNode struct {
	Terms []andNode `parser:"@@ ( 'or' @@ )*"`
}

type andNode struct {
	Terms []notNode `parser:"@@ ( 'and' @@ )*"`
}

type notNode struct {
	Not       bool           `parser:"@'not'?"`
	Group     *orNode        `parser:"( '(' @@ ')'"`
	Condition *conditionNode `parser:"| @@ )"`
}

type conditionNode struct {
	Column   columnNode    `parser:"@@"`
	Operator *operatorNode `parser:"( @@"`
	Value    *literalNode  `parser:"@@"`
	In       []literalNode `parser:"| 'in' '(' @@ ( ',' @@ )* ')'"`
	Like     *textNode     `parser:"| 'like' @@"`
	Is       *isNode       `parser:"| 'is' @@ )"`
}

type isNode struct {
	Not  bool `parser:"@'not'?"`
	Null bool `parser:"@'null'"`
}

type insertNode struct {
	Service nameNode     `parser:"@@"`
	Columns []columnNode `parser:"'(' @@ ( ',' @@ )* ')'"`
	Open    string       `parser:"'values' @'('"`
	Values  []valueNode  `parser:"@@ ( ',' @@ )* ')'"`
}

type valueNode struct {
	Null    bool         `parser:"@'null'"`
	Literal *literalNode `parser:"| @@"`
}

type literalNode struct {
	Number *numberNode `parser:"@@"`
	Text   *textNode   `parser:"| @@"`
}

// The nodes below are single tokens. Most have the token's position for error messages.

type nameNode struct {
	Pos  lexer.Position
	Text string `parser:"@Ident"`
}

type columnNode struct {
	Pos  lexer.Position
	Text string `parser:"@Ident"`
}

type operatorNode struct {
	Text string `parser:"@Operator"`
}

type wholeNode struct {
	Pos  lexer.Position
	Text string `parser:"@Number"`
}

type shareNode struct {
	Pos  lexer.Position
	Text string `parser:"@Number"`
}

type percentNode struct {
	Pos  lexer.Position
	Text string `parser:"@Number '%'"`
}

type numberNode struct {
	Pos  lexer.Position
	Text string `parser:"@Number"`
}

type textNode struct {
	Text string `parser:"@Text"`
}

type durationNode struct {
	Pos  lexer.Position
	Text string `parser:"@Duration"`
}

type percentileNode struct {
	Pos  lexer.Position
	Text string `parser:"@( Percentile | Ident )"`
}

type addressNode struct {
	Pos  lexer.Position
	Text string `parser:"@Address"`
}
