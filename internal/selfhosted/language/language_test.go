package language

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/rows"
)

func TestMain(m *testing.M) {
	// A -rapid.seed flag overrides this seed.
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// readStatements returns the lines of a file that has one statement per line.
func readStatements(t testing.TB, path string) []string {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var lines []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines
}

// TestStatementsMatchGolden compares the canonical texts of testdata/valid.txt and the errors of
// testdata/invalid.txt with golden files.
func TestStatementsMatchGolden(t *testing.T) {
	for _, name := range []string{"valid", "invalid"} {
		var report strings.Builder
		for _, line := range readStatements(t, "testdata/"+name+".txt") {
			fmt.Fprintf(&report, "> %s\n", line)
			statement, err := ParseStatement(line)
			if (err == nil) != (name == "valid") {
				t.Errorf("ParseOne(%q): got error %v, want valid = %t", line, err, name == "valid")
			}
			if err != nil {
				fmt.Fprintf(&report, "  %s\n", err)
				continue
			}
			fmt.Fprintf(&report, "  %s\n", statement)
			requireRoundTrip(t, statement)
		}
		goldie.New(t).Assert(t, name, []byte(report.String()))
	}
}

func requireRoundTrip(t rapid.TB, statement Statement) {
	t.Helper()
	parsed, err := ParseStatement(statement.String())
	if err != nil {
		t.Fatalf("ParseOne(%q): %v", statement, err)
	}
	if !reflect.DeepEqual(parsed, statement) {
		t.Fatalf("%s parsed to %#v, want %#v", statement, parsed, statement)
	}
}

var columnNames = rapid.SampledFrom([]string{"lane", "price", "Weight_2", "count", "p95", "_"})

func TestDrawnStatementsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requireRoundTrip(t, drawSelect(t))
		insert := &Insert{Service: "filing-vault", Columns: rapid.SliceOfNDistinct(columnNames, 1, 4, rapid.ID[string]).Draw(t, "columns")}
		for range insert.Columns {
			insert.Values = append(insert.Values, rapid.OneOf(rapid.Custom(drawValue), rapid.Just(rows.Value{})).Draw(t, "value"))
		}
		requireRoundTrip(t, insert)
		if value, ok := insert.Value(insert.Columns[0]); !ok || value != insert.Values[0] {
			t.Fatalf("Value = %v, want %v", value, insert.Values[0])
		}
	})
}

// TestKeyEqualityHoldsForMatchingRows checks that every row that matches a where clause has the
// value that KeyEquality returns for it. Otherwise, a query would skip shards that hold matching
// rows.
func TestKeyEqualityHoldsForMatchingRows(t *testing.T) {
	matchedRows := 0
	rapid.Check(t, func(t *rapid.T) {
		statement := &Select{Service: "x", Where: drawCondition(t, 2)}
		value, hasKey := statement.KeyEquality("lane")
		if !hasKey {
			return
		}
		row := map[string]rows.Value{"lane": rapid.OneOf(rapid.Just(value), rapid.Custom(drawValue)).Draw(t, "lane")}
		columns := func(name string) (rows.Value, bool) { v, ok := row[name]; return v, ok }
		if statement.Matches(columns) {
			matchedRows++
			if row["lane"] != value {
				t.Fatalf("%s matches a row with key %v, but KeyEquality returned %v", statement, row["lane"], value)
			}
		}
	})
	if matchedRows == 0 {
		t.Error("no drawn row matched a where clause with a key value, want at least one")
	}
}

func TestMatches(t *testing.T) {
	row := map[string]rows.Value{
		"lane":   {Kind: rows.Text, Text: "OTR-SPK"},
		"weight": {Kind: rows.Number, Number: 900},
		"note":   {},
	}
	columns := func(name string) (rows.Value, bool) { v, ok := row[name]; return v, ok }
	cases := map[string]bool{
		"lane = 'OTR-SPK' and weight <= 900":                   true,
		"lane <> 'OTR-SPK' or weight > 900":                    false,
		"weight < '901'":                                       false, // a number and a text
		"not weight < '901'":                                   true,
		"note = 0":                                             false,
		"note is null and missing is null":                     true,
		"weight is not null and not (note is not null)":        true,
		"lane in ('A', 'OTR-SPK')":                             true,
		"note in (0) or weight in ('900')":                     false,
		"lane like 'OTR%' and lane like '%SP_'":                true,
		"lane like 'OTR' or lane like '_' or weight like '9%'": false,
		"lane like '%T%-%K%' and not lane like '%KK'":          true,
		"lane >= 'OTR' and lane < 'OTS' and weight != -1":      true,
	}
	for text, want := range cases {
		statement, err := ParseStatement("select * from x where " + text)
		if err != nil {
			t.Fatal(err)
		}
		if got := statement.(*Select).Matches(columns); got != want {
			t.Errorf("Matches for %q = %v, want %v", text, got, want)
		}
	}
}

func TestParseLimits(t *testing.T) {
	cases := map[string]string{
		"length":  "stop service " + strings.Repeat("x", MaximumStatementBytes),
		"nesting": "select * from x where " + strings.Repeat("(", maximumNesting+1) + "a = 1" + strings.Repeat(")", maximumNesting+1),
		"bytes":   "stop service x\nstop service \xff",
		"two":     "stop service x; start service x",
		"none":    " -- nothing\n;",
	}
	for name, text := range cases {
		var syntaxError *SyntaxError
		if _, err := ParseStatement(text); !errors.As(err, &syntaxError) || syntaxError.Line == 0 || syntaxError.Column == 0 {
			t.Errorf("ParseOne of case %q: got error %v, want a *SyntaxError with line and column", name, err)
		}
	}
	if located, err := ParseFile("-- first\n\nstop service x; start service x\r\nshow nodes"); err != nil || len(located) != 3 || located[2].Line != 4 {
		t.Errorf("ParseFile = %v, error %v, want 3 statements with the last on line 4", located, err)
	}
}

// parseAll returns the statements, possibly none, of a text of at most MaximumStatementBytes bytes.
// Its errors are of type *SyntaxError.
func parseAll(text string) ([]Statement, error) {
	if len(text) > MaximumStatementBytes {
		return nil, newLengthError(len(text), MaximumStatementBytes)
	}
	located, err := parseText(text)
	if err != nil {
		return nil, err
	}
	statements := make([]Statement, len(located))
	for i := range located {
		statements[i] = located[i].Statement
	}
	return statements, nil
}

// FuzzParse checks that parsing never panics, that errors have a position and a message, and that
// the canonical text of a parsed statement parses to a statement with the same text.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"valid", "invalid"} {
		for _, line := range readStatements(f, "testdata/"+name+".txt") {
			f.Add(line)
		}
	}
	f.Add("stop service 'x\nshow nodes")
	f.Fuzz(func(t *testing.T, text string) {
		requireSameTokens(t, text)
		statements, err := parseAll(text)
		var syntaxError *SyntaxError
		if err != nil && (!errors.As(err, &syntaxError) || syntaxError.Line < 1 || syntaxError.Column < 1 || syntaxError.Message == "") {
			t.Fatalf("error without a position or message: %#v", err)
		}
		for _, statement := range statements {
			reparsed, err := ParseStatement(statement.String())
			if err != nil || reparsed.String() != statement.String() {
				t.Fatalf("%q was parsed again as %v, error %v, want the same text", statement, reparsed, err)
			}
		}
	})
}

// requireSameTokens checks that the scanner returns the same tokens as the lexer with which the
// grammar is built.
func requireSameTokens(t *testing.T, text string) {
	t.Helper()
	if !utf8.ValidString(text) {
		return
	}
	lexed, err := lexerDefinition.LexString("", text)
	if err != nil {
		t.Fatal(err)
	}
	scanned := newScanner(text)
	for {
		want, err := lexed.Next()
		if err != nil {
			t.Fatal(err)
		}
		if got := scanned.next(); got != want {
			t.Fatalf("scanner returned token %#v, want the lexer's token %#v", got, want)
		}
		if want.EOF() {
			return
		}
	}
}

func BenchmarkParseSelect(b *testing.B) {
	const text = "select lane, min(price), count(*) from rate-desk where lane = 'OTR-SPK' and weight <= 900 group by lane order by price limit 20"
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseStatement(text); err != nil {
			b.Fatal(err)
		}
	}
}
