package http1

import (
	"context"
	"testing"
)

// TestConnectionIsOpenedAhead of the first request, if one may be kept, and only
// when asked for.
func TestConnectionIsOpenedAhead(t *testing.T) {
	b := newBackend(t, func(int, int) string { return whole })
	client := newClient(t, 2)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.KeepWarm(ctx)
	}()
	defer func() { stop(); <-ended }()
	target := b.target()
	unkept := target
	unkept.Instance = "unkept"
	client.Retain(map[Target]int{target: 1, unkept: 0})
	client.SetWarm(true)
	waitUntil(t, "a connection", func() bool { return b.connections.Load() == 1 })
	if _, err := get(t, client, target); err != nil {
		t.Fatal(err)
	}
	if got := b.connections.Load(); got != 1 {
		t.Errorf("%d connections; the first request opened one of its own", got)
	}
}

// TestTriesToOpenAheadAreBounded looks as often as KeepWarm would.
func TestTriesToOpenAheadAreBounded(t *testing.T) {
	b := newBackend(t, func(int, int) string { return whole })
	client := newClient(t, 2)
	client.Retain(map[Target]int{b.target(): 1})
	if len(client.cold()) != 0 {
		t.Error("opens ahead though that is off")
	}
	client.SetWarm(true)
	for range 10 {
		for _, cold := range client.cold() {
			cold.openAhead(t.Context())
			cold.idle[0].close()
		}
	}
	if got := b.connections.Load(); got != warmTries {
		t.Errorf("%d connections were opened ahead", got)
	}
}
