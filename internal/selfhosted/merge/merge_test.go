package merge

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

func parseSelect(t rapid.TB, text string) *language.Select {
	t.Helper()
	statement, err := language.ParseStatement(text)
	if err != nil {
		t.Fatal(err)
	}
	return statement.(*language.Select)
}

// planStatements cover every kind of plan. The tables have the columns lane, carrier,
// weight and price.
var planStatements = []string{
	"select * from s",
	"select * from s limit 3",
	"select * from s order by price desc, lane limit 4",
	"select lane, price from s where weight > 1 order by price limit 5",
	"select price, lane from s where lane = 'a' or price is null order by lane desc",
	"select count(*) from s",
	"select count(*), count(price), sum(price), min(price), max(lane), avg(price) from s where weight != 2",
	"select lane, avg(price), avg(weight), sum(price) from s group by lane",
	"select lane, min(price), count(*) from s where weight <= 2 group by lane order by price limit 2",
	"select lane, carrier, max(weight) from s group by lane, carrier order by carrier desc limit 3",
	"select count(*) from s group by lane, carrier limit 2",
	"select carrier, avg(price) from s group by carrier order by avg(price) desc limit 1",
	"select avg(price) from s group by lane order by avg(price)",
}

func drawTable(t *rapid.T) rows.Table {
	textValue := rapid.SampledFrom([]rows.Value{rows.NewText("a"), rows.NewText("b"), rows.NewText("c"), {}})
	numberValue := rapid.OneOf(
		rapid.Map(rapid.IntRange(-3, 3), func(n int) rows.Value { return rows.NewNumber(float64(n)) }),
		rapid.Just(rows.Value{}),
	)
	table := rows.Table{Columns: []string{"lane", "carrier", "weight", "price"}}
	for range rapid.IntRange(0, 30).Draw(t, "rows") {
		table.Rows = append(table.Rows, rows.Row{
			textValue.Draw(t, "lane"), textValue.Draw(t, "carrier"), numberValue.Draw(t, "weight"), numberValue.Draw(t, "price"),
		})
	}
	return table
}

// drawShards distributes the rows of a table over a drawn number of shards.
func drawShards(t *rapid.T, table rows.Table) []rows.Table {
	shards := make([]rows.Table, rapid.IntRange(1, 6).Draw(t, "shards"))
	for i := range shards {
		shards[i].Columns = table.Columns
	}
	for _, row := range table.Rows {
		shard := rapid.IntRange(0, len(shards)-1).Draw(t, "shard")
		shards[shard].Rows = append(shards[shard].Rows, row)
	}
	return shards
}

// TestMergeEqualsEvaluatingUnion checks that the merged tables of the shards equal the
// result of the whole statement over all rows.
func TestMergeEqualsEvaluatingUnion(t *testing.T) {
	for _, text := range planStatements {
		t.Run(text, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				statement := parseSelect(t, text)
				table := drawTable(t)
				expected, err := Evaluate(statement, table)
				if err != nil {
					t.Fatal(err)
				}
				merged := mergeShards(t, statement, drawShards(t, table))
				if !merged.Equal(expected) {
					t.Fatalf("got merged table %v\nwant %v", merged, expected)
				}
			})
		})
	}
}

// mergeShards runs the shard statement on each shard and merges the tables in a drawn
// order.
func mergeShards(t *rapid.T, statement *language.Select, shards []rows.Table) rows.Table {
	plan, err := NewPlan(statement)
	if err != nil {
		t.Fatal(err)
	}
	shardStatement := parseSelect(t, plan.ShardStatement())
	merger := plan.NewMerger()
	order := make([]int, len(shards))
	for i := range order {
		order[i] = i
	}
	for _, shard := range rapid.Permutation(order).Draw(t, "arrivals") {
		partial, err := Evaluate(shardStatement, shards[shard])
		if err != nil {
			t.Fatal(err)
		}
		if err := merger.Add(shard, partial); err != nil {
			t.Fatal(err)
		}
	}
	merged, err := merger.Result()
	if err != nil {
		t.Fatal(err)
	}
	return merged
}

func TestEvaluateAndMergeErrors(t *testing.T) {
	table := rows.Table{Columns: []string{"lane", "price"}, Rows: []rows.Row{
		{rows.NewText("a"), rows.NewNumber(1e308)}, {rows.NewText("a"), rows.NewNumber(1e308)},
	}}
	var unknown *UnknownColumnError
	var typeError *TypeError
	var rangeError *RangeError
	for text, target := range map[string]any{
		"select carrier from s":                  &unknown,
		"select * from s order by carrier":       &unknown,
		"select sum(carrier) from s":             &unknown,
		"select sum(lane) from s":                &typeError,
		"select sum(price) from s group by lane": &rangeError,
	} {
		if _, err := Evaluate(parseSelect(t, text), table); !errors.As(err, target) {
			t.Errorf("%s: got error %v, want a %T", text, err, target)
		}
	}
	plan, err := NewPlan(parseSelect(t, "select lane, price from s"))
	if err != nil {
		t.Fatal(err)
	}
	merger := plan.NewMerger()
	if err := merger.Add(1, table); err != nil {
		t.Fatal(err)
	}
	var duplicate *DuplicateShardError
	if err := merger.Add(1, table); !errors.As(err, &duplicate) {
		t.Errorf("shard added twice: got error %v, want a %T", err, duplicate)
	}
	var columns *ColumnMismatchError
	if err := merger.Add(2, rows.Table{Columns: []string{"lane"}}); !errors.As(err, &columns) {
		t.Errorf("table with other columns: got error %v, want a %T", err, columns)
	}
}

func BenchmarkMerge(b *testing.B) {
	const shards, perShard = 760, 20
	for name, text := range map[string]string{
		"top-k":    "select lane, carrier, price from s order by price limit 20",
		"group-by": "select lane, min(price), avg(price), count(*) from s group by lane order by min(price) limit 20",
	} {
		b.Run(name, func(b *testing.B) {
			statement, err := language.ParseStatement(text)
			if err != nil {
				b.Fatal(err)
			}
			plan, err := NewPlan(statement.(*language.Select))
			if err != nil {
				b.Fatal(err)
			}
			shard, err := language.ParseStatement(plan.ShardStatement())
			if err != nil {
				b.Fatal(err)
			}
			tables := make([]rows.Table, shards)
			for i := range tables {
				partial, err := Evaluate(shard.(*language.Select), benchmarkTable(uint64(i), perShard))
				if err != nil || len(partial.Rows) != perShard {
					b.Fatalf("evaluate shard %d: got %d rows, %v, want %d rows", i, len(partial.Rows), err, perShard)
				}
				tables[i] = partial
			}
			b.ReportAllocs()
			for b.Loop() {
				merger := plan.NewMerger()
				for i, table := range tables {
					if err := merger.Add(i, table); err != nil {
						b.Fatal(err)
					}
				}
				if _, err := merger.Result(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// benchmarkTable returns a table with a distinct lane per row, so that grouping by lane
// keeps every row.
func benchmarkTable(seed uint64, size int) rows.Table {
	random := rand.New(rand.NewPCG(seed, 1))
	table := rows.Table{Columns: []string{"lane", "carrier", "price"}}
	for i := range size {
		table.Rows = append(table.Rows, rows.Row{
			rows.NewText(fmt.Sprintf("LANE-%02d", i)),
			rows.NewText(fmt.Sprintf("carrier-%d", random.IntN(9))),
			rows.NewNumber(float64(random.IntN(100000))),
		})
	}
	return table
}
