package leaf

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/micaplank/micaplank/internal/catalog"
	protocol "github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testService = "rate-desk"

var testSnapshot = catalog.Snapshot{Version: 1, Epoch: 1}

// testConfig returns the configuration of a leaf that holds one shard and has a service time of
// zero.
func testConfig() Config {
	config := DefaultConfig()
	config.Service = testService
	config.Versions = []uint64{1}
	config.Partitions = []Partition{{Epoch: 1, Shards: 1, Hold: []int{0}}}
	config.Select = ServiceTime{}
	config.Insert = ServiceTime{}
	return config
}

func startTestLeaf(t *testing.T, config Config) (*Server, *protocol.Client) {
	t.Helper()
	server, err := Start(config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	client := protocol.New(protocol.Config{ConnectWait: 5 * time.Second}, nil)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return server, client
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func testRequest(id, statement string) protocol.ExecuteRequest {
	return protocol.ExecuteRequest{
		RequestID:             id,
		AttemptID:             id + "-1",
		Service:               testService,
		Snapshot:              testSnapshot,
		Statement:             statement,
		RemainingMilliseconds: 5000,
	}
}

func execute(t *testing.T, server *Server, client *protocol.Client, request protocol.ExecuteRequest) *protocol.ExecuteResponse {
	t.Helper()
	response, err := client.Execute(testContext(t), server.Address(), request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func loggedOutcomes(server *Server, requestID string) []Outcome {
	var result []Outcome
	for _, execution := range server.Executions().Executions {
		if execution.RequestID == requestID {
			result = append(result, execution.Outcome)
		}
	}
	return result
}

func TestSelectReturnsGeneratedRows(t *testing.T) {
	server, client := startTestLeaf(t, testConfig())
	response := execute(t, server, client, testRequest("r", "select * from rate-desk"))
	expected := GenerateRows(testService, testSnapshot, 0, 1)
	slices.SortStableFunc(expected.Rows, rows.CompareRows)
	if !response.Table.Equal(expected) {
		t.Fatalf("select: got %d rows, want %d equal to the generated rows", len(response.Table.Rows), len(expected.Rows))
	}
	if got := loggedOutcomes(server, "r"); !slices.Equal(got, []Outcome{OutcomeExecuted}) {
		t.Fatalf("got logged outcomes %v, want [%s]", got, OutcomeExecuted)
	}
}

func TestUnionOfShardsIsEqualForEveryEpoch(t *testing.T) {
	for _, service := range []string{"rate-desk", "inspector-desk", "refund-clerk"} {
		whole := GenerateRows(service, testSnapshot, 0, 1)
		slices.SortStableFunc(whole.Rows, rows.CompareRows)
		for _, shards := range []int{2, 7} {
			union := rows.Table{Columns: whole.Columns}
			for shard := range shards {
				union.Rows = append(union.Rows, GenerateRows(service, catalog.Snapshot{Version: 1, Epoch: 9}, shard, shards).Rows...)
			}
			slices.SortStableFunc(union.Rows, rows.CompareRows)
			if !union.Equal(whole) {
				t.Errorf("%s: got a union of %d shards with %d rows that differs from the %d rows of a single shard", service, shards, len(union.Rows), len(whole.Rows))
			}
		}
	}
}
