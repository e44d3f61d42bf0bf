package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/api"
	"github.com/micaplank/micaplank/internal/rows"
)

// maximumRowsShown bounds the rows that the demo prints of one answer.
const maximumRowsShown = 8

// DemoPlan is the deployment of the demo: 16 leaves and 3 nodes in 3 zones.
func DemoPlan(binaries string) Plan {
	return Plan{
		Binaries: binaries,
		Zones:    []string{"a", "b", "c"},
		Nodes:    3,
		Services: []Service{
			{
				Name: "rate-desk", Shards: 8, Replicas: 2, Leaves: 8, Slots: 5,
				Classes: []string{
					"class sweep on rate-desk priority 2 deadline 2s coverage 1.0 hedge after p95 extra 3% repeatable",
					"class spot-check on rate-desk priority 1 deadline 500ms coverage 1.0 hedge after p95 extra 3% repeatable",
				},
			},
			{
				Name: "filing-vault", Shards: 8, Replicas: 2, KeyColumn: "quote", Leaves: 8, Slots: 2,
				Classes: []string{
					"class archive-pull on filing-vault priority 1 deadline 2s coverage 1.0 hedge after p95 extra 3% repeatable",
					"class file-quote on filing-vault priority 1 deadline 2s once",
				},
			},
		},
	}
}

// demoQuery is one request of the demo.
type demoQuery struct {
	title     string
	service   string
	class     string
	statement string
}

var demoQueries = []demoQuery{
	{
		"Broad query over every tariff", "rate-desk", "sweep",
		"select lane, min(price), avg(price), count(*) from rate-desk group by lane order by min(price) limit 5",
	},
	{
		"Short query of one lane", "rate-desk", "spot-check",
		"select lane, carrier, price from rate-desk where lane = 'OTR-SPK' and weight <= 900 order by price limit 3",
	},
	{
		"Look-up of one filed quote", "filing-vault", "archive-pull",
		"select * from filing-vault where quote = 'Q-17'",
	},
	{
		"Filing of a quote, at most once", "filing-vault", "file-quote",
		"insert into filing-vault (quote, lane, price) values ('Q-90018', 'OTR-SPK', 4100)",
	},
	{
		"Look-up of the quote just filed", "filing-vault", "archive-pull",
		"select quote, lane, price from filing-vault where quote = 'Q-90018'",
	},
}

// Demo runs the queries of the demo against a cluster, each at another node,
// and prints the answers. It fails if an answer does not cover every shard.
func (c *Cluster) Demo(ctx context.Context, output io.Writer) error {
	for index, query := range demoQueries {
		node := c.Nodes[index%len(c.Nodes)]
		if err := c.demoQuery(ctx, output, node, query); err != nil {
			return fmt.Errorf("%s: %w", query.title, err)
		}
	}
	return nil
}

func (c *Cluster) demoQuery(ctx context.Context, output io.Writer, node *Node, query demoQuery) error {
	fmt.Fprintf(output, "\n%s (%s, at %s)\n  %s\n", query.title, query.class, node.Name, query.statement)
	answer, err := c.Query(ctx, node, query.service, api.QueryRequest{
		RequestID: ulid.Make().String(),
		Class:     query.class,
		Statement: query.statement,
	})
	if err != nil {
		return err
	}
	coverage := answer.Coverage
	fmt.Fprintf(output, "  %s, snapshot version %d epoch %d, coverage %d of %d shards\n",
		answer.Outcome, answer.Snapshot.Version, answer.Snapshot.Epoch, coverage.Answered, coverage.Total)
	printRows(output, answer)
	if coverage.Answered != coverage.Total {
		return errors.New("the answer does not cover every shard")
	}
	return nil
}

func printRows(output io.Writer, answer *api.QueryResponse) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintf(table, "  %s\n", strings.Join(answer.Columns, "\t"))
	for index, row := range answer.Rows {
		if index == maximumRowsShown {
			fmt.Fprintf(table, "  (%d more rows)\n", len(answer.Rows)-index)
			return
		}
		fmt.Fprintf(table, "  %s\n", strings.Join(texts(row), "\t"))
	}
}

func texts(row rows.Row) []string {
	cells := make([]string, len(row))
	for i, value := range row {
		cells[i] = value.String()
	}
	return cells
}
