package language

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestDocumentedExamplesParse parses every example in docs/LANGUAGE.md and checks that there is an
// example of every kind of statement and clause.
func TestDocumentedExamplesParse(t *testing.T) {
	page, err := os.ReadFile("../../../docs/LANGUAGE.md")
	if err != nil {
		t.Fatal(err)
	}
	missing := make(map[string]bool)
	for _, kind := range expectedKinds() {
		missing[kind] = true
	}
	for number, line := range exampleLines(string(page)) {
		statement, err := ParseStatement(line)
		if err != nil {
			t.Errorf("docs/LANGUAGE.md line %d: ParseOne(%q): %v", number, line, err)
			continue
		}
		requireRoundTrip(t, statement)
		for _, kind := range statementKinds(statement) {
			delete(missing, kind)
		}
	}
	for kind := range missing {
		t.Errorf("docs/LANGUAGE.md has no example of %s", kind)
	}
}

// exampleLines returns the lines of the code blocks marked "mica", with their line numbers as keys.
func exampleLines(page string) map[int]string {
	lines := make(map[int]string)
	inside := false
	for index, line := range strings.Split(page, "\n") {
		switch {
		case strings.HasPrefix(line, "```"):
			inside = line == "```mica"
		case inside:
			lines[index+1] = line
		}
	}
	return lines
}

func expectedKinds() []string {
	kinds := []string{"if revision", "insert", "where", "group by", "order by", "descending", "limit", "all columns"}
	command := reflect.TypeFor[ChangeStatement]().Field(0).Type
	for index := range command.NumField() {
		kinds = append(kinds, command.Field(index).Name)
	}
	for _, subject := range []ShowSubject{ShowServices, ShowLeaves, ShowClasses, ShowChanges, ShowVoters, ShowNodes} {
		kinds = append(kinds, "show "+string(subject))
	}
	for _, function := range []Function{Count, Sum, Minimum, Maximum, Average} {
		kinds = append(kinds, "function "+string(function))
	}
	return append(kinds, "show of a service", "*language.And", "*language.Or", "*language.Not", "*language.Comparison", "*language.In", "*language.Like", "*language.IsNull")
}

func statementKinds(statement Statement) []string {
	switch statement := statement.(type) {
	case *ChangeStatement:
		return changeKinds(statement)
	case *ShowStatement:
		kinds := []string{"show " + string(statement.Subject)}
		if statement.Service != "" {
			kinds = append(kinds, "show of a service")
		}
		return kinds
	case *Select:
		return append(selectKinds(statement), conditionKinds(statement.Where)...)
	default:
		return []string{"insert"}
	}
}

func changeKinds(statement *ChangeStatement) []string {
	var kinds []string
	if statement.IfRevision != nil {
		kinds = append(kinds, "if revision")
	}
	command := reflect.ValueOf(statement.Command)
	for index := range command.NumField() {
		if !command.Field(index).IsNil() {
			kinds = append(kinds, command.Type().Field(index).Name)
		}
	}
	return kinds
}

func selectKinds(statement *Select) []string {
	var kinds []string
	add := func(present bool, kind string) {
		if present {
			kinds = append(kinds, kind)
		}
	}
	add(len(statement.Items) == 0, "all columns")
	add(statement.Where != nil, "where")
	add(len(statement.GroupBy) > 0, "group by")
	add(len(statement.OrderBy) > 0, "order by")
	add(statement.Limit > 0, "limit")
	for _, order := range statement.OrderBy {
		add(order.Descending, "descending")
	}
	for _, item := range statement.Items {
		add(item.Function != NoFunction, "function "+string(item.Function))
	}
	return kinds
}

func conditionKinds(where Condition) []string {
	if where == nil {
		return nil
	}
	kinds := []string{reflect.TypeOf(where).String()}
	var terms []Condition
	switch where := where.(type) {
	case *And:
		terms = where.Terms
	case *Or:
		terms = where.Terms
	case *Not:
		terms = []Condition{where.Term}
	}
	for _, term := range terms {
		kinds = append(kinds, conditionKinds(term)...)
	}
	return kinds
}
