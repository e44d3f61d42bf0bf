package rows

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func newValueGenerator() *rapid.Generator[Value] {
	return rapid.OneOf(
		rapid.Just(Value{}),
		rapid.Map(rapid.Float64Range(-math.MaxFloat64, math.MaxFloat64), NewNumber),
		rapid.Map(rapid.IntRange(-3, 3), func(n int) Value { return NewNumber(float64(n)) }),
		rapid.Map(rapid.String(), NewText),
	)
}

func newTableGenerator() *rapid.Generator[Table] {
	return rapid.Custom(func(t *rapid.T) Table {
		table := Table{Columns: rapid.SliceOfN(rapid.String(), 1, 4).Draw(t, "columns"), Rows: []Row{}}
		width := len(table.Columns)
		for range rapid.IntRange(0, 5).Draw(t, "rows") {
			table.Rows = append(table.Rows, rapid.SliceOfN(newValueGenerator(), width, width).Draw(t, "row"))
		}
		return table
	})
}

func TestTableJSONRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTableGenerator().Draw(t, "table")
		encoded, err := json.Marshal(table)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Table
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			t.Fatalf("decode %s: %v", encoded, err)
		}
		if !table.Equal(decoded) {
			t.Fatalf("decoded %[2]v from %[3]s, want %[1]v", table, decoded, encoded)
		}
	})
}

// tableWithoutMethods has the fields of Table but not its JSON methods, so encoding/json handles it
// by reflection.
type tableWithoutMethods Table

func TestTableDecodesLikeEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := tableWithoutMethods(newTableGenerator().Draw(t, "table"))
		encoded, err := json.MarshalIndent(plain, " ", "\t")
		if err != nil {
			t.Fatal(err)
		}
		var table Table
		if err := json.Unmarshal(encoded, &table); err != nil {
			t.Fatalf("decode %s: %v", encoded, err)
		}
		if !table.Equal(Table(plain)) {
			t.Fatalf("decoded %[2]v from %[1]s, want the encoded table", encoded, table)
		}
	})
}

// envelope is a JSON object with a table between other fields.
type envelope struct {
	Before string         `json:"before"`
	Load   map[string]any `json:"load"`
	Table  Table          `json:"table"`
	After  []any          `json:"after"`
}

func TestExtractTableKeepsOtherFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := envelope{
			Before: rapid.String().Draw(t, "before"),
			Load:   map[string]any{"a": []any{1.5, "]", map[string]any{"table": nil}}, "b": rapid.String().Draw(t, "load")},
			Table:  newTableGenerator().Draw(t, "table"),
			After:  []any{true, map[string]any{"x": []any{}}},
		}
		encoded, err := json.MarshalIndent(object, "", rapid.SampledFrom([]string{"", " "}).Draw(t, "indent"))
		if err != nil {
			t.Fatal(err)
		}
		table, rest, err := ExtractTable(encoded, "table")
		if err != nil || !table.Equal(object.Table) {
			t.Fatalf("ExtractTable(%s) = %v, error %v, want %v", encoded, table, err, object.Table)
		}
		object.Table = Table{}
		var decoded, expected envelope
		withoutTable, _ := json.Marshal(object)
		if json.Unmarshal(rest, &decoded) != nil || json.Unmarshal(withoutTable, &expected) != nil {
			t.Fatalf("decoding the remaining object %s failed", rest)
		}
		expected.Table = Table{}
		if !reflect.DeepEqual(decoded, expected) {
			t.Fatalf("remaining object %s decodes to %v, want %v", rest, decoded, expected)
		}
	})
}

// FuzzTable checks that decoding never panics and that every valid JSON text that decodes gives the
// same table as encoding/json.
func FuzzTable(f *testing.F) {
	for _, seed := range []string{
		`{"columns":["a","b"],"rows":[[1,"x"],[null,"\u00e9\""]]}`, `{"columns":null,"rows":null}`, `null`,
		`{"rows":[[1,2]],"columns":["a"]}`, `{"columns":["a"],"rows":[[1]`, `{"columns":["\`, `{"rows":[[1e999]]}`,
		`{"a":[{"b":"]"}],"table":{"rows":[[1]]},"c":-1}`, `{"a":{]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if extracted, _, err := ExtractTable(data, "table"); err == nil && json.Valid(data) {
			var whole struct{ Table tableWithoutMethods }
			if err := json.Unmarshal(data, &whole); err == nil && bytes.Count(data, []byte("table")) == 1 && !extracted.Equal(Table(whole.Table)) {
				t.Fatalf("extracted %v, want %v", extracted, whole.Table)
			}
		}
		var table Table
		if table.UnmarshalJSON(data) != nil || !json.Valid(data) {
			return
		}
		var plain tableWithoutMethods
		if err := json.Unmarshal(data, &plain); err != nil || !table.Equal(Table(plain)) {
			t.Fatalf("decoded %v, want %v, error %v from encoding/json", table, plain, err)
		}
	})
}

func TestCompareIsTotalOrderConsistentWithKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newValueGenerator().Draw(t, "a")
		b := newValueGenerator().Draw(t, "b")
		c := newValueGenerator().Draw(t, "c")
		if Compare(a, b) != -Compare(b, a) {
			t.Fatalf("Compare(%v, %v) is not antisymmetric", a, b)
		}
		if Compare(a, b) <= 0 && Compare(b, c) <= 0 && Compare(a, c) > 0 {
			t.Fatalf("Compare is not transitive for %v, %v and %v", a, b, c)
		}
		sameKey := bytes.Equal(AppendKey(nil, a), AppendKey(nil, b))
		if sameKey != (Compare(a, b) == 0) {
			t.Fatalf("keys of %v and %v are inconsistent with Compare", a, b)
		}
	})
}

func TestNegativeZeroEqualsZero(t *testing.T) {
	zero, negative := NewNumber(0), NewNumber(math.Copysign(0, -1))
	if Compare(zero, negative) != 0 || !bytes.Equal(AppendKey(nil, zero), AppendKey(nil, negative)) {
		t.Fatal("zero and negative zero differ, want equal order and equal keys")
	}
}

func TestInvalidValuesAreRefused(t *testing.T) {
	for _, text := range []string{`true`, `{}`, `[]`} {
		var value Value
		var valueError *ValueError
		if err := json.Unmarshal([]byte(text), &value); !errors.As(err, &valueError) {
			t.Errorf("decode %s: got error %v, want *ValueError", text, err)
		}
	}
	var numberError *NumberError
	if _, err := json.Marshal(NewNumber(math.NaN())); !errors.As(err, &numberError) {
		t.Errorf("encode NaN: got error %v, want *NumberError", err)
	}
}

// newBenchmarkTable returns a table of the size of a shard's reply to a top-20 query.
func newBenchmarkTable() Table {
	table := Table{Columns: []string{"lane", "carrier", "weight", "price"}}
	for i := range 20 {
		table.Rows = append(table.Rows, Row{
			NewText("OTR-SPK"), NewText("coast"), NewNumber(float64(50 * i)), NewNumber(1000.5 + float64(i)),
		})
	}
	return table
}

func BenchmarkDecodeTable(b *testing.B) {
	encoded, err := json.Marshal(newBenchmarkTable())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var table Table
		if err := json.Unmarshal(encoded, &table); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodeTable(b *testing.B) {
	table := newBenchmarkTable()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := json.Marshal(table); err != nil {
			b.Fatal(err)
		}
	}
}
