package api

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// errorsPageHead is the part of docs/ERRORS.md before the table.
const errorsPageHead = `# Errors

<!-- Written by the tests of internal/selfhosted/api: change the descriptions there and run "go test ./internal/selfhosted/api -update". -->

Every error of the HTTP interface is a problem document (RFC 9457) of the media type ` + "`" + ProblemContentType + "`" + `. Programs compare ` + "`type`" + `, which never changes its meaning; ` + "`detail`" + ` is for people and may change.

| member | meaning |
| --- | --- |
| ` + "`type`, `title`, `status`" + ` | as listed below |
| ` + "`detail`" + ` | what went wrong in this case |
| ` + "`line`, `column`, `expected`" + ` | place in a statement, counted from 1, and what could stand there |
| ` + "`request_id`" + ` | the id of the query |
| ` + "`outcome`" + ` | ` + "`not_run`" + ` (ran nowhere and never will), ` + "`failed`" + ` (a part may have run), ` + "`unknown`" + ` (a request that is not repeated may have run) |
| ` + "`reason`" + ` | why, in one word |
| ` + "`retry_after_ms`" + ` | when to ask again; the header Retry-After has it in whole seconds, rounded up |

The types that begin with ` + "`not-run`" + ` promise that this request ran nowhere and never will. A request of a class declared ` + "`once`" + ` may have been submitted before under the same id; while a node cannot exclude that, it says ` + "`unavailable`" + ` instead.

`

// TestErrorsPageMatchesDescriptions checks that docs/ERRORS.md lists the problem types with
// their current descriptions. Run it with -update to rewrite the page.
func TestErrorsPageMatchesDescriptions(t *testing.T) {
	var page strings.Builder
	page.WriteString(errorsPageHead)
	page.WriteString("| type | status | meaning | what to do |\n| --- | --- | --- | --- |\n")
	for _, description := range ProblemDescriptions() {
		if description.Advice == "" {
			t.Errorf("%s has no advice", description.Type)
		}
		fmt.Fprintf(&page, "| `%s` | %d | %s | %s |\n", description.Type, description.Status, description.Title, description.Advice)
	}
	goldie.New(t, goldie.WithFixtureDir("../../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "ERRORS", []byte(page.String()))
}

// TestEveryProblemTypeIsDescribed reads the constants from the source, so that it fails for
// a new constant without a description.
func TestEveryProblemTypeIsDescribed(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "problem.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	described := make(map[string]bool)
	for _, description := range ProblemDescriptions() {
		described[fmt.Sprintf("%q", description.Type)] = true
	}
	count := 0
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && strings.HasPrefix(literal.Value, `"urn:micaplank:problem:`) {
			count++
			if !described[literal.Value] {
				t.Errorf("%s is not described", literal.Value)
			}
		}
		return true
	})
	if count != len(described) {
		t.Errorf("got %d types in the source and %d descriptions, want as many", count, len(described))
	}
}
