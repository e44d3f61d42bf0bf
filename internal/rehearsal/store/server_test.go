package store_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	fakestore "github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
	"github.com/micaplank/micaplank/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a stand-in and a client without a rate limit.
func startStoreAndClient(t *testing.T, change func(*fakestore.Config, *store.Config)) (*fakestore.Server, *store.Client) {
	t.Helper()
	serverConfig := fakestore.Config{Address: "127.0.0.1:0"}
	clientConfig := store.Config{Timeout: 5 * time.Second}
	if change != nil {
		change(&serverConfig, &clientConfig)
	}
	server, err := fakestore.Start(serverConfig, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server, connectWith(t, server, clientConfig)
}

// connect makes another client of a stand-in.
func connect(t *testing.T, server *fakestore.Server, timeout time.Duration) *store.Client {
	t.Helper()
	return connectWith(t, server, store.Config{Timeout: timeout})
}

func connectWith(t *testing.T, server *fakestore.Server, clientConfig store.Config) *store.Client {
	t.Helper()
	clientConfig.Endpoints = append(clientConfig.Endpoints, netip.MustParseAddrPort(server.Address()))
	client, err := store.New(clientConfig, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func TestCreateIfAbsentReturnsExistingEntry(t *testing.T) {
	_, client := startStoreAndClient(t, nil)
	ctx := context.Background()
	first, err := client.CreateIfAbsent(ctx, "/a", []byte("one"))
	if err != nil || !first.Created {
		t.Fatalf("first create: %+v, %v", first, err)
	}
	second, err := client.CreateIfAbsent(ctx, "/a", []byte("two"))
	if err != nil || second.Created || string(second.Existing.Value) != "one" {
		t.Fatalf("second create: %+v, %v", second, err)
	}
	if second.Existing.ModRevision != first.StoreRevision {
		t.Fatalf("mod revision %d, created at %d", second.Existing.ModRevision, first.StoreRevision)
	}
}

func TestLostReplyIsReportedAsMaybeApplied(t *testing.T) {
	server, client := startStoreAndClient(t, nil)
	server.SetFaults(fakestore.Faults{LoseReplies: 1})
	ctx := context.Background()
	_, err := client.CreateIfAbsent(ctx, "/a", []byte("one"))
	if store.KindOf(err) != store.KindReplyLost || !store.MaybeApplied(err) {
		t.Fatalf("expected a lost reply, got %v", err)
	}
	result, err := client.Range(ctx, "/a", "", 0)
	if err != nil || len(result.Entries) != 1 || result.Entries[0].Version != 1 {
		t.Fatalf("expected the write once: %+v, %v", result, err)
	}
}

// control posts a request and returns the status.
func postControl(t *testing.T, server *fakestore.Server, body string) int {
	t.Helper()
	reply, err := http.Post("http://"+server.Address()+fakestore.ControlPath, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	http.DefaultClient.CloseIdleConnections()
	reply.Body.Close()
	return reply.StatusCode
}

func TestRefuseForRejectsCallsThenKeepsData(t *testing.T) {
	server, client := startStoreAndClient(t, nil)
	ctx := context.Background()
	if _, err := client.CreateIfAbsent(ctx, "/before", nil); err != nil {
		t.Fatal(err)
	}
	if status := postControl(t, server, `{"refuse_for": "200ms"}`); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	refused := 0
	for {
		result, err := client.CreateIfAbsent(ctx, "/after", nil)
		if store.KindOf(err) == store.KindUnreachable && !store.MaybeApplied(err) {
			refused++
			continue
		}
		if err == nil {
			break
		}
		if store.KindOf(err) != store.KindReplyLost {
			t.Fatalf("unexpected: %+v, %v", result, err)
		}
	}
	if kept, err := client.Range(ctx, "/before", "", 0); err != nil || len(kept.Entries) != 1 || refused == 0 {
		t.Fatalf("refused %d calls; then %+v, %v", refused, kept, err)
	}
}

// TestCallBeforeTheConnectionsEndHasNoEffect comes after the order to refuse
// connections, through one that is still open.
func TestCallOnOpenConnectionWhileRefusingHasNoEffect(t *testing.T) {
	server, client := startStoreAndClient(t, nil)
	ctx := context.Background()
	if _, err := client.CreateIfAbsent(ctx, "/before", nil); err != nil {
		t.Fatal(err)
	}
	revision := server.Report().Revision
	server.StartRefusing()
	if _, err := client.CreateIfAbsent(ctx, "/after", nil); err == nil || server.Report().Revision != revision {
		t.Errorf("%v, revision %d after %d", err, server.Report().Revision, revision)
	}
}

func TestControlRejectsInvalidBodies(t *testing.T) {
	server, _ := startStoreAndClient(t, nil)
	for _, body := range []string{`{"outage": "hang"}`, `{"faults": {"delay": 3}}`, `nonsense`} {
		if status := postControl(t, server, body); status != http.StatusBadRequest {
			t.Errorf("%s: status %d", body, status)
		}
	}
}

func TestFaultsMapToErrorKinds(t *testing.T) {
	cases := map[string]struct {
		faults       fakestore.Faults
		kind         store.Kind
		maybeApplied bool
	}{
		"unavailable": {fakestore.Faults{Outage: fakestore.OutageUnavailable}, store.KindUnavailable, true},
		"closed":      {fakestore.Faults{Outage: fakestore.OutageClose}, store.KindReplyLost, true},
		"hanging":     {fakestore.Faults{Outage: fakestore.OutageHang}, store.KindTimeout, true},
		"slow":        {fakestore.Faults{Delay: settings.Duration(time.Minute)}, store.KindTimeout, true},
		"limited":     {fakestore.Faults{RatePerSecond: 1e-9, Burst: 1}, store.KindRateLimited, false},
	}
	for name, expected := range cases {
		t.Run(name, func(t *testing.T) {
			server, client := startStoreAndClient(t, func(_ *fakestore.Config, config *store.Config) { config.Timeout = time.Second })
			if _, err := client.Range(context.Background(), "/a", "", 0); err != nil { // opens the connection
				t.Fatal(err)
			}
			server.SetFaults(expected.faults)
			if expected.kind == store.KindRateLimited {
				_, _ = client.Range(context.Background(), "/a", "", 0)
			}
			_, err := client.CreateIfAbsent(context.Background(), "/a", nil)
			if store.KindOf(err) != expected.kind || store.MaybeApplied(err) != expected.maybeApplied {
				t.Fatalf("expected %s (may be applied: %v), got %v", expected.kind, expected.maybeApplied, err)
			}
		})
	}
}

func TestWatchDeliversEventsAndReportsCompaction(t *testing.T) {
	server, client := startStoreAndClient(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	created, err := client.CreateIfAbsent(ctx, "/a/1", []byte("one"))
	if err != nil {
		t.Fatal(err)
	}
	events, err := client.Watch(ctx, "/a/", store.PrefixEnd("/a/"), created.StoreRevision)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.CreateIfAbsent(ctx, "/a/2", []byte("two")); err != nil {
		t.Fatal(err)
	}
	if _, err := client.DeleteRange(ctx, "/a/1", ""); err != nil {
		t.Fatal(err)
	}
	for _, expected := range []struct {
		kind store.WatchKind
		key  string
	}{{store.WatchPut, "/a/1"}, {store.WatchPut, "/a/2"}, {store.WatchDelete, "/a/1"}} {
		if event := <-events; event.Kind != expected.kind || event.Entry.Key != expected.key {
			t.Fatalf("expected %+v, got %+v", expected, event)
		}
	}
	server.Control(fakestore.ControlRequest{CompactNow: true, BreakWatches: true})
	if event := <-events; store.KindOf(event.Err) != store.KindReplyLost {
		t.Fatalf("expected the stream to break, got %+v", event)
	}
	compactedEvents, err := client.Watch(ctx, "/a/", store.PrefixEnd("/a/"), 1)
	if err != nil {
		t.Fatal(err)
	}
	if event := <-compactedEvents; store.KindOf(event.Err) != store.KindCompacted {
		t.Fatalf("expected a compacted watch, got %+v", event)
	}
}
