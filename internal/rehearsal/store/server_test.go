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

// startStoreAndClient starts a fake store and a client without a rate limit. The change function
// may alter their configurations.
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

// connect returns another client of the store.
func connect(t *testing.T, server *fakestore.Server, timeout time.Duration) *store.Client {
	t.Helper()
	return connectWith(t, server, store.Config{Timeout: timeout})
}

func connectWith(t *testing.T, server *fakestore.Server, clientConfig store.Config) *store.Client {
	t.Helper()
	clientConfig.Endpoints = append(clientConfig.Endpoints, netip.MustParseAddrPort(server.Address()))
	client, err := store.NewClient(clientConfig, nil)
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
		t.Fatalf("first create: got %+v, error %v, want created", first, err)
	}
	second, err := client.CreateIfAbsent(ctx, "/a", []byte("two"))
	if err != nil || second.Created || string(second.Existing.Value) != "one" {
		t.Fatalf("second create: got %+v, error %v, want the existing value \"one\"", second, err)
	}
	if second.Existing.ModRevision != first.StoreRevision {
		t.Fatalf("second create: got mod revision %d, want %d, the revision of the first create", second.Existing.ModRevision, first.StoreRevision)
	}
}

func TestLostReplyIsReportedAsMaybeApplied(t *testing.T) {
	server, client := startStoreAndClient(t, nil)
	server.SetFaults(fakestore.Faults{LoseReplies: 1})
	ctx := context.Background()
	_, err := client.CreateIfAbsent(ctx, "/a", []byte("one"))
	if store.ErrorKind(err) != store.KindReplyLost || !store.MaybeApplied(err) {
		t.Fatalf("create: got error %v, want a lost reply that may have been applied", err)
	}
	result, err := client.Range(ctx, "/a", "", 0)
	if err != nil || len(result.Entries) != 1 || result.Entries[0].Version != 1 {
		t.Fatalf("range \"/a\": got %+v, error %v, want one entry at version 1", result, err)
	}
}

// postControl posts a control request and returns the status of the response.
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
		t.Fatalf("control: got status %d, want %d", status, http.StatusOK)
	}
	refused := 0
	for {
		result, err := client.CreateIfAbsent(ctx, "/after", nil)
		if store.ErrorKind(err) == store.KindUnreachable && !store.MaybeApplied(err) {
			refused++
			continue
		}
		if err == nil {
			break
		}
		if store.ErrorKind(err) != store.KindReplyLost {
			t.Fatalf("create: got %+v, error %v, want an unreachable store or a lost reply", result, err)
		}
	}
	if kept, err := client.Range(ctx, "/before", "", 0); err != nil || len(kept.Entries) != 1 || refused == 0 {
		t.Fatalf("got %d refused calls, then range %+v, error %v, want at least 1 refused call and one entry", refused, kept, err)
	}
}

// TestCallOnOpenConnectionWhileRefusingHasNoEffect sends a call on a connection that is still open
// after the request to refuse connections. The store must not execute the call.
func TestCallOnOpenConnectionWhileRefusingHasNoEffect(t *testing.T) {
	server, client := startStoreAndClient(t, nil)
	ctx := context.Background()
	if _, err := client.CreateIfAbsent(ctx, "/before", nil); err != nil {
		t.Fatal(err)
	}
	revision := server.Report().Revision
	server.StartRefusing()
	if _, err := client.CreateIfAbsent(ctx, "/after", nil); err == nil || server.Report().Revision != revision {
		t.Errorf("create while refusing: got error %v at revision %d, want an error and revision %d", err, server.Report().Revision, revision)
	}
}

func TestControlRejectsInvalidBodies(t *testing.T) {
	server, _ := startStoreAndClient(t, nil)
	for _, body := range []string{`{"outage": "hang"}`, `{"faults": {"delay": 3}}`, `nonsense`} {
		if status := postControl(t, server, body); status != http.StatusBadRequest {
			t.Errorf("control %s: got status %d, want %d", body, status, http.StatusBadRequest)
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
			// The first call opens the connection.
			if _, err := client.Range(context.Background(), "/a", "", 0); err != nil {
				t.Fatal(err)
			}
			server.SetFaults(expected.faults)
			if expected.kind == store.KindRateLimited {
				_, _ = client.Range(context.Background(), "/a", "", 0)
			}
			_, err := client.CreateIfAbsent(context.Background(), "/a", nil)
			if store.ErrorKind(err) != expected.kind || store.MaybeApplied(err) != expected.maybeApplied {
				t.Fatalf("create: want error kind %s (may be applied: %v), got %v", expected.kind, expected.maybeApplied, err)
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
			t.Fatalf("watch: want %+v, got %+v", expected, event)
		}
	}
	server.Control(fakestore.ControlRequest{CompactNow: true, BreakWatches: true})
	if event := <-events; store.ErrorKind(event.Err) != store.KindReplyLost {
		t.Fatalf("watch: got %+v, want a lost reply because the connection was closed", event)
	}
	compactedEvents, err := client.Watch(ctx, "/a/", store.PrefixEnd("/a/"), 1)
	if err != nil {
		t.Fatal(err)
	}
	if event := <-compactedEvents; store.ErrorKind(event.Err) != store.KindCompacted {
		t.Fatalf("watch from revision 1: got %+v, want a compacted error", event)
	}
}
