package hollow

import (
	"context"
	"net/netip"
	"sync"
	"testing"

	"github.com/micaplank/micaplank/internal/peer"
)

type cellCall struct {
	Shards    []int
	Statement string
}

type cellReply struct {
	Rows []byte
}

// BenchmarkCall is one call between nodes with a reply of two kilobytes, over
// a socket, with 16 callers. The processor time is that of both ends.
func BenchmarkCall(b *testing.B) {
	server, err := peer.Listen(loopback, nil)
	if err != nil {
		b.Fatal(err)
	}
	reply := &cellReply{Rows: make([]byte, 2048)}
	peer.Register(server, "cell.query", func(context.Context, netip.AddrPort, *cellCall) (*cellReply, error) {
		return reply, nil
	})
	server.Serve()
	defer server.Close(context.Background())
	client := peer.NewClient(peer.ClientOptions{}, nil)
	defer client.Close()
	const callers = 16
	request := &cellCall{Shards: make([]int, 20), Statement: "select lane, price from rate-desk where lane = 'OTR-SPK' limit 3"}
	before := processorTime()
	for b.Loop() {
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				var answer cellReply
				if err := client.Call(context.Background(), server.Address(), "cell.query", request, &answer); err != nil {
					b.Error(err)
				}
			})
		}
		group.Wait()
	}
	b.ReportMetric(float64((processorTime()-before).Nanoseconds())/float64(b.N*callers), "processor-ns/call")
}
