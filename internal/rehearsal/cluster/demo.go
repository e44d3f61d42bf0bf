package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// maximumPrintedRows bounds the rows that the demo prints of each answer.
const maximumPrintedRows = 8

// NewDemoPlan returns the plan of the demo: 16 leaves and 3 nodes in 3 zones.
func NewDemoPlan(binaries string) Plan {
	return Plan{
		ProgramDirectory: binaries,
		Zones:            []string{"a", "b", "c"},
		Nodes:            3,
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

// demoQuery is a query that the demo submits.
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
}

// filingQuery must run at most once.
var filingQuery = demoQuery{
	"Filing of a quote, at most once", "filing-vault", "file-quote",
	"insert into filing-vault (quote, lane, price) values ('Q-90018', 'OTR-SPK', 4100)",
}

// maximumFilingAttempts bounds how often the demo submits its filing. After a start, an owner
// refuses the request ids that a previous owner may have admitted, up to the fence of package once.
const maximumFilingAttempts = 20

// RunDemo runs each query of the demo on a different node and prints the answers. It fails if an
// answer does not cover every shard.
func (c *Cluster) RunDemo(ctx context.Context, output io.Writer) error {
	for index, query := range demoQueries {
		if _, err := c.runDemoQuery(ctx, output, c.nodeAt(index), query, ulid.Make()); err != nil {
			return fmt.Errorf("%s: %w", query.title, err)
		}
	}
	return c.runFiling(ctx, output)
}

// nodeAt returns the node with the given index modulo the number of nodes.
func (c *Cluster) nodeAt(index int) *Node {
	return c.Nodes[index%len(c.Nodes)]
}

// runFiling files a quote and submits the same request again to another node. It fails if the
// request runs a second time.
func (c *Cluster) runFiling(ctx context.Context, output io.Writer) error {
	for range maximumFilingAttempts {
		id := ulid.Make()
		_, err := c.runDemoQuery(ctx, output, c.nodeAt(0), filingQuery, id)
		var problem *api.Problem
		if errors.As(err, &problem) && problem.RetryAfterMilliseconds > 0 {
			fmt.Fprintf(output, "  refused: %s\n  again in %d ms\n", problem.Detail, problem.RetryAfterMilliseconds)
			if !clock.Sleep(ctx, time.Duration(problem.RetryAfterMilliseconds)*time.Millisecond) {
				return ctx.Err()
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("%s: %w", filingQuery.title, err)
		}
		return c.repeatFiling(ctx, output, id)
	}
	return fmt.Errorf("%s: refused %d times", filingQuery.title, maximumFilingAttempts)
}

// repeatFiling submits the filing again with the same id and checks the executions of the leaves.
func (c *Cluster) repeatFiling(ctx context.Context, output io.Writer, id ulid.ULID) error {
	repeated := filingQuery
	repeated.title = "The same request again, at another node"
	if _, err := c.runDemoQuery(ctx, output, c.nodeAt(1), repeated, id); err != nil {
		return fmt.Errorf("%s: %w", repeated.title, err)
	}
	executions, err := c.ReadExecutions(ctx, id.String())
	if err != nil {
		return err
	}
	fmt.Fprintf(output, "  The leaves executed request %s %d time(s).\n", id, len(executions))
	if len(executions) != 1 {
		return fmt.Errorf("request %s ran %d times, want 1", id, len(executions))
	}
	return nil
}

// runDemoQuery runs a query on a node and prints the answer.
func (c *Cluster) runDemoQuery(ctx context.Context, output io.Writer, node *Node, query demoQuery, id ulid.ULID) (*api.QueryResponse, error) {
	fmt.Fprintf(output, "\n%s (%s, at %s)\n  %s\n", query.title, query.class, node.Name, query.statement)
	response, err := c.Query(ctx, node, query.service, api.QueryRequest{
		RequestID: id.String(),
		Class:     query.class,
		Statement: query.statement,
	})
	if err != nil {
		return nil, err
	}
	coverage := response.Coverage
	fmt.Fprintf(output, "  %s, snapshot version %d epoch %d, coverage %d of %d shards\n",
		response.Outcome, response.Snapshot.Version, response.Snapshot.Epoch, coverage.Answered, coverage.Total)
	printRows(output, response)
	if coverage.Answered != coverage.Total {
		return nil, fmt.Errorf("the answer covers %d of %d shards", coverage.Answered, coverage.Total)
	}
	return response, nil
}

// printRows prints the first rows of an answer as a table.
func printRows(output io.Writer, response *api.QueryResponse) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintf(table, "  %s\n", strings.Join(response.Columns, "\t"))
	for index, row := range response.Rows {
		if index == maximumPrintedRows {
			fmt.Fprintf(table, "  (%d more rows)\n", len(response.Rows)-index)
			return
		}
		fmt.Fprintf(table, "  %s\n", strings.Join(formatRow(row), "\t"))
	}
}

// formatRow returns the printed form of each value of a row.
func formatRow(row rows.Row) []string {
	cells := make([]string, len(row))
	for i, value := range row {
		cells[i] = value.String()
	}
	return cells
}
