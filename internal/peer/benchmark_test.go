package peer_test

import (
	"context"
	"net/netip"
	"testing"

	"github.com/micaplank/micaplank/internal/peer"
)

// BenchmarkCall measures concurrent calls with 1 KiB in each direction on one loopback connection.
func BenchmarkCall(b *testing.B) {
	server, err := peer.Listen(loopback, nil)
	if err != nil {
		b.Fatal(err)
	}
	peer.Register(server, "echo", func(_ context.Context, _ netip.AddrPort, request *echoRequest) (*echoResponse, error) {
		return &echoResponse{Data: request.Data}, nil
	})
	server.Start()
	client := peer.NewClient(peer.ClientOptions{}, nil)
	defer func() {
		_ = client.Close()
		_ = server.Close(context.Background())
	}()
	data := make([]byte, 1<<10)
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var response echoResponse
			if err := client.Call(context.Background(), server.Address(), "echo", &echoRequest{Data: data}, &response); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
