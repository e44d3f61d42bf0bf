package dissemination_test

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	rehearsalstore "github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/dissemination"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
)

func startAdapter(t *testing.T) (*dissemination.StoreAdapter, *store.Client) {
	t.Helper()
	server, err := rehearsalstore.Start(rehearsalstore.Config{Address: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client, err := store.NewClient(store.Config{Endpoints: []netip.AddrPort{netip.MustParseAddrPort(server.Address())}, Timeout: 5 * time.Second}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return dissemination.NewStoreAdapter(client), client
}

// createChanges writes count changes and returns the catalog before the first change and after each
// one.
func createChanges(t *testing.T, adapter *dissemination.StoreAdapter, count int) []*catalog.Catalog {
	t.Helper()
	catalogs := []*catalog.Catalog{catalog.Empty()}
	for index := range count {
		revision := uint64(index + 1)
		change := catalog.Change{Revision: revision, ID: dissemination.ChangeID(revision, "T"), Command: createService(strings.Repeat("s", index+1))}
		created, _, err := adapter.CreateChange(context.Background(), change)
		if err != nil || !created {
			t.Fatalf("create change %d: got created %t, error %v, want created", revision, created, err)
		}
		next, err := catalog.Apply(catalogs[index], change)
		if err != nil {
			t.Fatal(err)
		}
		catalogs = append(catalogs, next)
	}
	return catalogs
}

func TestStoreAdapterReadsWritesAndWatchesChanges(t *testing.T) {
	adapter, _ := startAdapter(t)
	ctx := context.Background()
	watched := make(chan catalog.Change, 16)
	watchContext, stop := context.WithCancel(ctx)
	ended := make(chan error)
	go func() {
		ended <- adapter.WatchChanges(watchContext, func(changes []catalog.Change) { watched <- changes[0] })
	}()
	createChanges(t, adapter, 5)
	created, existing, err := adapter.CreateChange(ctx, catalog.Change{Revision: 3, ID: "3-other", Command: createService("x")})
	if err != nil || created || existing.ID != "3-T" {
		t.Fatalf("second change at revision 3: got created %t, existing %+v, error %v, want existing change 3-T", created, existing, err)
	}
	changes, more, err := adapter.ReadChanges(ctx, 2, 3)
	if err != nil || !more || len(changes) != 3 || changes[0].Revision != 2 {
		t.Fatalf("read 3 changes from revision 2: got %v, more %t, error %v, want revisions 2 to 4 and more", changes, more, err)
	}
	// The watch may have started after the first changes, so further changes follow until it
	// delivers one.
	for revision := uint64(6); ; revision++ {
		_, _, err := adapter.CreateChange(ctx, catalog.Change{Revision: revision, ID: dissemination.ChangeID(revision, "T"), Command: createService("y")})
		if err != nil {
			t.Fatal(err)
		}
		select {
		case <-watched:
			stop()
			<-ended
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func TestStoreAdapterCheckpoints(t *testing.T) {
	adapter, client := startAdapter(t)
	ctx := context.Background()
	if loaded, err := adapter.LoadCheckpoint(ctx); loaded != nil || err != nil {
		t.Fatalf("load from an empty store: got %v, error %v, want no checkpoint", loaded, err)
	}
	catalogs := createChanges(t, adapter, 10)
	for _, revision := range []int{4, 8, 8} {
		if err := adapter.SaveCheckpoint(ctx, catalogs[revision], uint64(revision-2)); err != nil {
			t.Fatal(err)
		}
	}
	loaded, err := adapter.LoadCheckpoint(ctx)
	if err != nil || loaded.Digest() != catalogs[8].Digest() {
		t.Fatalf("loaded checkpoint: got %+v, error %v, want revision 8", loaded, err)
	}
	changes, _, err := adapter.ReadChanges(ctx, 1, 100)
	revisions := make([]uint64, 0, len(changes))
	for _, change := range changes {
		revisions = append(revisions, change.Revision)
	}
	if err != nil || !slices.Equal(revisions, []uint64{6, 7, 8, 9, 10}) {
		t.Fatalf("changes left: got %v, error %v, want revisions 6 to 10", revisions, err)
	}
	// A newer but incomplete checkpoint is ignored.
	if _, err := client.CreateIfAbsent(ctx, "/micaplank/checkpoints/0000000000000009/0000", []byte(`{"count":2,"hash":1,"data":""}`)); err != nil {
		t.Fatal(err)
	}
	if loaded, err := adapter.LoadCheckpoint(ctx); err != nil || loaded.Revision != 8 {
		t.Fatalf("loaded checkpoint: got %+v, error %v, want revision 8", loaded, err)
	}
}
