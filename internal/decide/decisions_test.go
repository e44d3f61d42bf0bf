package decide

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the root of the repository, relative to this folder.
const root = "../.."

// TestIndexNamesWhatExists checks that each row of docs/DECISIONS.md names existing files and
// tests.
func TestIndexNamesWhatExists(t *testing.T) {
	rows := readRows(t)
	if len(rows) == 0 {
		t.Fatal("docs/DECISIONS.md has no rows")
	}
	tests := testFunctions(t)
	for _, row := range rows {
		for _, file := range quoted(row.files) {
			if _, err := os.Stat(filepath.Join(root, file)); err != nil {
				t.Errorf("%s: file %s does not exist", row.rule, file)
			}
		}
		for _, test := range quoted(row.tests) {
			if !tests[test] {
				t.Errorf("%s: test %s does not exist", row.rule, test)
			}
		}
		if len(quoted(row.files)) == 0 || len(quoted(row.tests)) == 0 {
			t.Errorf("%s: got files %q and tests %q, want at least one of each", row.rule, row.files, row.tests)
		}
	}
}

// TestIndexNamesEveryRule checks that each package below this one has a row.
func TestIndexNamesEveryRule(t *testing.T) {
	var indexed strings.Builder
	for _, row := range readRows(t) {
		indexed.WriteString(row.files)
	}
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if entry.IsDir() && !strings.Contains(indexed.String(), "internal/decide/"+entry.Name()+"/") {
			t.Errorf("docs/DECISIONS.md has no row for internal/decide/%s", entry.Name())
		}
	}
}

// indexRow is one row of the table.
type indexRow struct{ rule, files, tests string }

func readRows(t *testing.T) []indexRow {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs/DECISIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	var rows []indexRow
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) < 5 || !strings.Contains(cells[2], "`") {
			continue // not a row, or the head of the table
		}
		rows = append(rows, indexRow{rule: strings.TrimSpace(cells[1]), files: cells[2], tests: cells[3]})
	}
	return rows
}

var quotation = regexp.MustCompile("`([^`]+)`")

// quoted returns the texts between backquotes.
func quoted(text string) []string {
	var found []string
	for _, match := range quotation.FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	return found
}

var testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)

// testFunctions returns the names of the repository's test functions.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	found := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range testDeclaration.FindAllSubmatch(source, -1) {
			found[string(match[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}
