package combine

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/combiners"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/records"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
	"github.com/micaplank/micaplank/internal/scatter"
)

// BenchmarkQueryOf15Parts runs 15 attempts of a query through a combiner over loopback. Each part
// has 62 records. The benchmark covers the work of both nodes.
func BenchmarkQueryOf15Parts(b *testing.B) {
	leaves := &fakeLeaves{run: func(context.Context, scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
		response := &scatter.Response[forward.Part]{Executed: true, Part: forward.Part{Status: 200, Signature: "3e1b.07.5a2.600.0.c9f2a4d1", Body: make([]byte, 62*records.Size)}}
		_, _ = rand.Read(response.Part.Body)
		return response, nil
	}}
	registry := prometheus.NewRegistry()
	server, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), registry)
	if err != nil {
		b.Fatal(err)
	}
	Serve(server, leaves, func(netip.AddrPort) bool { return true })
	server.Start()
	caller := peer.NewClient(peer.ClientOptions{}, prometheus.NewRegistry())
	client := New(combiners.DefaultConfig(), roster.Member{Name: "here", Zone: "a"}, leaves, caller, clock.NewMonotonic(),
		prometheus.NewRegistry(), slog.New(slog.DiscardHandler))
	client.SetMembers([]roster.Member{{Name: "there", Zone: "b", Peer: server.Address()}})
	running, stop := context.WithCancel(context.Background())
	go client.Run(running)
	for client.combiners.Choose("b") == nil {
		time.Sleep(time.Millisecond)
	}
	for b.Loop() {
		query := newQuery()
		query.TopK = 50
		var all sync.WaitGroup
		for range 15 {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(running, testTimeout)
				defer cancel()
				if _, err := client.Execute(ctx, newAttempt("b", query)); err != nil {
					b.Error(err)
				}
			})
		}
		all.Wait()
	}
	stop()
	_ = caller.Close()
	_ = server.Close(running)
}
