package scatter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
	standin "github.com/micaplank/micaplank/internal/rehearsal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
)

// BenchmarkExecute runs concurrent queries over eight shards of one leaf with zero service time,
// over a real connection.
func BenchmarkExecute(b *testing.B) {
	config := standin.DefaultConfig()
	config.Service, config.Versions = "rate-desk", []uint64{1}
	config.Slots, config.Queue = 64, 1024
	config.Select = standin.ServiceTime{}
	config.Partitions = []standin.Partition{{Epoch: 1, Shards: 8, Hold: []int{0, 1, 2, 3, 4, 5, 6, 7}}}
	server, err := standin.Start(config, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	client := leaf.New(leaf.Config{}, nil)
	b.Cleanup(client.Close)
	conn := NewQueryRunner(Config[string, rows.Table]{
		Service: "rate-desk", AttemptPrefix: "benchmark", Leaves: Statements{client}, Clock: clock.NewMonotonic(),
		Guard: allowAlways, Metrics: NewMetrics(prometheus.NewRegistry()),
	}, dispatch.New(dispatch.DefaultConfig(), rand.New(rand.NewPCG(1, 2))))
	conn.SetTopology(dispatch.Topology{
		Revision: 1, Partitions: []catalog.Partition{{Epoch: 1, Shards: 8}},
		Leaves: []dispatch.Leaf{{
			Address: server.Address(), BootID: server.BootID(), Usable: true, Slots: 64,
			Holdings: []leaf.Holding{{Snapshot: catalog.Snapshot{Version: 1, Epoch: 1}, Shards: config.Partitions[0].Hold}},
		}},
	})
	request := Request[string]{
		RequestID: "r", Class: repeatable, Timeout: time.Second, MinimumCoverage: 1,
		Payload: "select lane, carrier, price from rate-desk where lane = 'OTR-SPK' order by price limit 3",
	}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if result := conn.Execute(context.Background(), request); result.Outcome == dispatch.OutcomeFailed {
				b.Errorf("got outcome %s with reason %s, want no failure", result.Outcome, result.Reason)
			}
		}
	})
	conn.Close()
}
