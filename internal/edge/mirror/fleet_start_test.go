package mirror

import (
	"context"
	"fmt"
	"github.com/micaplank/micaplank/internal/position"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/startup"
)

// serialStore is a store behind a link that carries one range read at a time.
type serialStore struct {
	*memoryStore
	link          chan struct{}
	rangeDuration time.Duration
}

func (s *serialStore) Range(ctx context.Context, prefix string) ([]Item, position.Position, error) {
	s.link <- struct{}{}
	time.Sleep(s.rangeDuration)
	<-s.link
	return s.memoryStore.Range(ctx, prefix)
}

// TestFleetStartReadsStoreOnlyFromSources starts all nodes at once, the sources after the others.
// Only the sources may read the store, and all nodes must have a copy before the store could have
// served a tenth of them.
func TestFleetStartReadsStoreOnlyFromSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			nodes, sources = 300, 12
			rangeDuration  = 40 * time.Millisecond // 5 MB over 1 Gbit/s
			sourceDelay    = 500 * time.Millisecond
		)
		store := &serialStore{memoryStore: &memoryStore{}, link: make(chan struct{}, 1), rangeDuration: rangeDuration}
		store.put("config")
		peers := &localPeers{watchers: make(map[netip.AddrPort]*Shared), unreachable: make(map[netip.AddrPort]bool)}
		var addresses []netip.AddrPort
		for index := range sources {
			addresses = append(addresses, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(index+1)))
			peers.setUnreachable(addresses[index], true)
		}
		fleet := make([]*Shared, nodes)
		for index := range fleet {
			fleet[index] = NewShared(DefaultSharedConfig(), store, peers, clock.NewMonotonic(), slog.New(slog.DiscardHandler))
			plan := startup.Plan{IsSource: index < sources, Sources: addresses}
			fleet[index].SetPlanner("nodes/", func([]Item) startup.Plan { return plan })
			if plan.IsSource {
				peers.set(addresses[index], fleet[index])
			}
		}
		startedAt := time.Now()
		loaded := make(chan error, nodes)
		start := func(node *Shared) {
			items, _, err := node.Range(t.Context(), "")
			if err == nil && len(items) != 1 {
				err = fmt.Errorf("loaded %d items, want 1", len(items))
			}
			loaded <- err
		}
		for _, node := range fleet[sources:] {
			go start(node)
		}
		time.Sleep(sourceDelay)
		for index, node := range fleet[:sources] {
			peers.setUnreachable(addresses[index], false)
			go start(node)
		}
		for range nodes {
			if err := <-loaded; err != nil {
				t.Fatal(err)
			}
		}
		if store.ranges != sources {
			t.Errorf("the store was read %d times, want %d, once per source", store.ranges, sources)
		}
		if elapsed := time.Since(startedAt); elapsed > sourceDelay+sources*store.rangeDuration+time.Second {
			t.Errorf("the last node had a copy after %v, want at most %v", elapsed, sourceDelay+sources*store.rangeDuration+time.Second)
		}
	})
}
