package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/leaf"
	rehearsalleaf "github.com/micaplank/micaplank/internal/rehearsal/leaf"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/operator"
)

const benchmarkStatement = "select * from filing-vault where quote = 'Q-17'"

// BenchmarkAddedLatency reads one key from an idle leaf without service time, directly over the
// leaf protocol and through an idle node. The difference of the medians is the latency that a node
// adds.
func BenchmarkAddedLatency(b *testing.B) {
	leafServer := startBenchmarkLeaf(b)
	running := startNode(b)
	running.waitUntilReady(b)
	for _, statement := range []string{
		"add voter node-a1 zone a",
		"create service filing-vault shards 1 replicas 1 key quote",
		"class pull on filing-vault priority 1 deadline 2s coverage 1.0 repeatable",
		fmt.Sprintf("add leaf %s to filing-vault zone a shards 0", leafServer.Address()),
	} {
		if output, err := running.exec(statement, operator.ExecOptions{}); err != nil {
			b.Fatalf("%s: got output %q and error %v, want success", statement, output, err)
		}
	}
	running.waitUntilReady(b)
	b.Run("direct", func(b *testing.B) { benchmarkMedian(b, newDirectCall(b, leafServer)) })
	b.Run("through-node", func(b *testing.B) { benchmarkMedian(b, newNodeCall(b, running)) })
	running.node.beginDrain()
	<-running.runResult
}

// startBenchmarkLeaf starts a leaf that holds one shard and answers without delay.
func startBenchmarkLeaf(b *testing.B) *rehearsalleaf.Server {
	config := rehearsalleaf.DefaultConfig()
	config.Service, config.Zone = "filing-vault", "a"
	config.Versions = []uint64{1}
	config.Partitions = []rehearsalleaf.Partition{{Epoch: 1, Shards: 1, Hold: []int{0}}}
	config.Select = rehearsalleaf.ServiceTime{}
	server, err := rehearsalleaf.Start(config, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	return server
}

// benchmarkMedian reports the median duration of a call in microseconds.
func benchmarkMedian(b *testing.B, call func()) {
	call()
	var durations []time.Duration
	b.ReportAllocs()
	for b.Loop() {
		started := time.Now()
		call()
		durations = append(durations, time.Since(started))
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), "median-us")
}

// newDirectCall returns a function that runs the statement on the leaf itself.
func newDirectCall(b *testing.B, leafServer *rehearsalleaf.Server) func() {
	client := leaf.New(leaf.Config{}, nil)
	b.Cleanup(client.Close)
	request := leaf.ExecuteRequest{
		RequestID: "r", AttemptID: "a", Service: "filing-vault", Snapshot: catalog.Snapshot{Version: 1, Epoch: 1},
		Statement: benchmarkStatement, RemainingMilliseconds: 2000, Repeatable: true,
	}
	return func() {
		response, err := client.Execute(context.Background(), leafServer.Address(), request)
		if err != nil || !response.Executed {
			b.Fatalf("execute: got %+v and error %v, want an executed statement", response, err)
		}
	}
}

// newNodeCall returns a function that runs the statement through the HTTP interface of a node.
func newNodeCall(b *testing.B, running *runningNode) func() {
	client := &http.Client{}
	b.Cleanup(client.CloseIdleConnections)
	url := "http://" + running.node.HTTPAddress().String() + strings.Replace(api.QueryPath, "{service}", "filing-vault", 1)
	body, err := json.Marshal(api.QueryRequest{Class: "pull", Statement: benchmarkStatement})
	if err != nil {
		b.Fatal(err)
	}
	return func() {
		response, err := client.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		content, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatalf("query: got status %d with body %s, want %d", response.StatusCode, content, http.StatusOK)
		}
	}
}
